"""Control under crashes, lost disks, damaged files and pauses, with real processes and files."""

from __future__ import annotations

import shutil
import signal
import threading
import time
import uuid

import pytest

from bench.deploy import CREDENTIAL, fetch
from finchway.cli._client import ApiClient
from finchway.exceptions import ConflictError, FinchwayError, GoneError
from finchway.state._history import HISTORY_LIMIT
from tests.linearizability import NEVER, Operation, State, is_linearizable

WRITERS = 12
pytestmark = pytest.mark.xdist_group("control")


def put_region(deployment, name: str, latency: float) -> dict:
    return deployment.client.put("region", name, {"latency_ms": {"north": latency}})


def replicas(deployment) -> list[dict]:
    return deployment.client.read("/v1/replicas")["replicas"]


def leader(deployment) -> str:
    """Wait for a leader and return its name."""
    names = []

    def found() -> bool:
        names[:] = [r["id"].split("@")[0] for r in replicas(deployment) if r["role"] == "leader"]
        return len(names) == 1

    deployment.wait(found, "a leader")
    return names[0]


def wait_identical(deployment, voters: int = 3) -> None:
    """Wait until there are `voters` voters with the same applied index and digest."""

    def identical() -> bool:
        answer = deployment.client.read("/v1/replicas")
        ids = {f"{m['name']}@{m['incarnation']}" for m in answer["members"]["voters"]}
        states = [r for r in answer["replicas"] if r["id"] in ids and "digest" in r]
        same = len({(r["applied"], r["digest"]) for r in states}) == 1
        return len(ids) == voters and len(states) == voters and same

    deployment.wait(identical, f"{voters} replicas with one state")


def region_latency(deployment, name: str) -> float:
    return deployment.client.get("region", name)["spec"]["latency_ms"]["north"]


def test_killing_the_leader_loses_nothing(deployment):
    put_region(deployment, "kept", 1.0)
    name = leader(deployment)
    deployment.kill(name)
    assert region_latency(deployment, "kept") == 1.0
    put_region(deployment, "kept", 2.0)
    deployment.restart(name)
    wait_identical(deployment)
    assert region_latency(deployment, "kept") == 2.0


def test_killing_all_processes_at_once_loses_nothing(deployment):
    revision = put_region(deployment, "all", 3.0)["revision"]
    names = [*deployment.api, *deployment.entry]
    for name in names:
        deployment.processes[name].send_signal(signal.SIGKILL)
    for name in names:
        deployment.processes[name].wait()
        deployment.restart(name)
    deployment.wait(lambda: region_latency(deployment, "all") == 3.0, "the state to be back")
    deployment.wait_in_force(revision, 2)
    wait_identical(deployment)


def test_a_replica_without_data_rejoins_and_another_may_be_lost(deployment):
    put_region(deployment, "repair", 4.0)
    name = next(n for n in deployment.api if n != leader(deployment))
    old = next(r["id"] for r in replicas(deployment) if r["id"].startswith(f"{name}@"))
    deployment.kill(name)
    shutil.rmtree(deployment.folder / name)
    deployment.restart(name)

    def repaired() -> bool:
        members = deployment.client.read("/v1/replicas")["members"]["voters"]
        ids = {f"{m['name']}@{m['incarnation']}" for m in members}
        return len(ids) == 3 and old not in ids and any(i.startswith(f"{name}@") for i in ids)

    deployment.wait(repaired, "the repair")
    second = next(n for n in deployment.api if n != name)
    deployment.kill(second)
    assert region_latency(deployment, "repair") == 4.0
    put_region(deployment, "repair", 5.0)
    deployment.restart(second)
    wait_identical(deployment)
    assert region_latency(deployment, "repair") == 5.0


def test_a_replica_with_damaged_files_rejoins_as_a_new_one(deployment):
    for number in range(20):
        put_region(deployment, "damage", float(number))
    name = next(n for n in deployment.api if n != leader(deployment))
    deployment.kill(name)
    log = next((deployment.folder / name / "log").glob("log-*.wal"))
    data = bytearray(log.read_bytes())
    data[len(data) // 3] ^= 0xFF
    log.write_bytes(bytes(data))
    deployment.restart(name)

    def rejoined() -> bool:
        return bool(list(deployment.folder.glob(f"{name}.damaged-*")))

    deployment.wait(rejoined, "the damaged folder to be put aside")
    wait_identical(deployment)


def test_a_paused_leader_is_replaced_and_rejoins_as_a_follower(deployment):
    name = leader(deployment)
    deployment.kill(name, signal.SIGSTOP)
    others = [address for n, address in deployment.api.items() if n != name]
    client = ApiClient(others, CREDENTIAL)
    answer = client.put("region", "frozen", {"latency_ms": {"north": 6.0}})
    deployment.kill(name, signal.SIGCONT)
    wait_identical(deployment)
    awake = ApiClient([deployment.api[name]], CREDENTIAL)
    assert awake.get("region", "frozen")["spec"]["latency_ms"]["north"] == 6.0
    deployment.wait_in_force(answer["revision"], 2)


def test_an_entry_that_restarts_after_hundreds_of_changes_has_the_newest(deployment):
    deployment.kill("e1")
    for number in range(300):
        answer = put_region(deployment, f"many{number % 5}", float(number))
    deployment.restart("e1")
    deployment.wait_in_force(answer["revision"], 2)
    metrics = deployment.client.read("/v1/entries")["entries"]
    assert {e["instance"]: e["state"] for e in metrics}["e1"] == "live"


def test_of_concurrent_changes_of_one_generation_one_wins(deployment):
    put_region(deployment, "race", 0.0)
    client = deployment.client
    generation = client.get("region", "race")["generation"]
    results: list = []

    def change(number: int) -> None:
        try:
            spec = {"latency_ms": {"north": float(number)}}
            results.append(deployment.client.put("region", "race", spec, generation))
        except ConflictError as error:
            results.append(error)

    threads = [threading.Thread(target=change, args=(n,)) for n in range(1, 9)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    won = [r for r in results if isinstance(r, dict)]
    lost = [r for r in results if isinstance(r, ConflictError)]
    assert (len(won), len(lost)) == (1, 7)
    assert all(f'"generation":{generation + 1}'.encode() in error.winner for error in lost)


def test_a_resent_change_gets_the_same_answer_from_any_replica(deployment):
    body = {"spec": {"latency_ms": {"north": 1.0}}, "expected": 0, "change_id": uuid.uuid4().hex}
    answers = [
        ApiClient([address], CREDENTIAL)._call("PUT", "/v1/resources/region/resent", body)
        for address in deployment.api.values()
    ]
    assert answers[0] == answers[1] == answers[2]


def test_a_watch_has_no_gaps_and_refuses_an_unknown_kind(deployment):
    client = deployment.client
    since = client.list("region")["revision"]
    last = [put_region(deployment, "watched", float(n))["revision"] for n in range(5)][-1]
    seen = []
    in_force = 0
    for line in client.watch(since):
        if "resource" in line:
            seen.append(line["revision"])
        in_force = line.get("in_force", in_force)
        if in_force >= last:
            break
    assert seen == list(range(since + 1, seen[-1] + 1))
    with pytest.raises(FinchwayError):
        next(iter(client.watch(10**9, "nothing")))


def test_concurrent_changes_are_linearizable_while_leaders_are_killed(deployment):
    put_region(deployment, "register", 0.0)
    start = deployment.client.get("region", "register")
    operations: list[Operation] = []
    stop = threading.Event()

    def work(number: int) -> None:
        address = list(deployment.api.values())[number % 3]
        client = ApiClient([address], CREDENTIAL)
        for step in range(12):
            if stop.is_set():
                return
            # Values are unique, since writing the current value does not change the generation.
            operate(client, f"{number * 100 + step + 1}.0")

    def operate(client: ApiClient, value: str) -> None:
        began = time.monotonic()
        try:
            seen = client.get("region", "register")
        except FinchwayError:
            return
        found = str(seen["spec"]["latency_ms"]["north"])
        operations.append(Operation("read", began, time.monotonic(), seen["generation"], found))
        began = time.monotonic()
        ok: bool | None = True
        try:
            spec = {"latency_ms": {"north": float(value)}}
            client.put("region", "register", spec, seen["generation"])
        except ConflictError:
            ok = False
        except FinchwayError:
            ok = None
        ended = NEVER if ok is None else time.monotonic()
        operations.append(Operation("write", began, ended, seen["generation"], value, ok))

    threads = [threading.Thread(target=work, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for _ in range(2):
        name = leader(deployment)
        deployment.kill(name)
        leader(deployment)
        deployment.restart(name)
    for thread in threads:
        thread.join()
    stop.set()
    assert len([o for o in operations if o.kind == "write" and o.ok]) >= 5
    state = State(start["generation"], "0.0")
    assert is_linearizable(operations, state)


def test_a_planned_stop_of_the_leader_transfers_leadership(deployment):
    name = leader(deployment)
    deployment.kill(name, signal.SIGTERM)
    assert deployment.processes[name].wait(timeout=30) == 0
    put_region(deployment, "handover", 1.0)
    assert leader(deployment) != name
    deployment.restart(name)
    wait_identical(deployment)


def test_a_drain_and_a_planned_stop_finish(deployment):
    client = deployment.client
    address = next(c.address for s, _, c in deployment.upstreams if s == "bays")
    client.put("drain", "one", {"target": f"upstream/{address}"})
    deployment.wait(
        lambda: (client.get("drain", "one")["status"] or {}).get("phase") == "done", "the drain"
    )
    before = len(fetch(address, "/fake/report")["runs"])
    client.delete("drain", "one")
    assert len(fetch(address, "/fake/report")["runs"]) == before
    deployment.kill("e2", signal.SIGTERM)
    assert deployment.processes["e2"].wait(timeout=60) == 0

    def withdrawn() -> bool:
        entries = client.read("/v1/entries")["entries"]
        return all(e["instance"] != "e2" or e["state"] == "gone" for e in entries)

    deployment.wait(withdrawn, "e2 to be withdrawn")
    deployment.restart("e2")
    deployment.wait_in_force(client.list("region")["revision"], 2)


def test_a_watch_from_compacted_history_returns_the_oldest_revision(deployment):
    """After more changes than the history holds, a watch fails and a list restarts it."""
    client = deployment.client
    since = client.list("region")["revision"]
    workers = [
        threading.Thread(target=overflow_history, args=(deployment, n)) for n in range(WRITERS)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    with pytest.raises(GoneError) as caught:
        next(iter(client.watch(since)))
    assert caught.value.oldest > since
    fresh = client.list("region")["revision"]
    assert next(iter(client.watch(fresh)))


def overflow_history(deployment, number: int) -> None:
    """Make one worker's part of the changes that overflow the history."""
    client = deployment.client
    for step in range(HISTORY_LIMIT * 3 // 2 // WRITERS):
        client.put("region", f"often{number}", {"latency_ms": {"north": float(step + 1)}})
