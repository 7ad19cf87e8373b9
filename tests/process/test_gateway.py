"""Finchway's own interfaces for gateways: the daemon's flags, the API and the command line."""

from __future__ import annotations

import itertools
import json
import signal
import subprocess
import sys
import time

import httpcore
import msgspec
import pytest

from bench.deploy import CREDENTIAL
from finchway.cli import run
from tests.adapter.test_processes import free_ports

pytestmark = pytest.mark.xdist_group("gateway")
TIMEOUT_S = 20.0

ITEMS = """
- {kind: service, name: bays, version: 1, spec: {cold_start: 0}}
- kind: route
  name: lookups
  version: 1
  spec: {host: a.example, path_prefix: /bays/, type: safe, timeout: 2, target_latency: 0.3,
         backends: [[bays, 1]], max_attempts: 2, affinity: true}
- {kind: limits, name: limits, version: 1, spec: {body_bytes: 1000}}
"""


@pytest.fixture
def finchway(deployment, capsys):
    def call(*arguments):
        api = ",".join(deployment.api.values())
        code = run([*arguments, f"--api={api}", f"--credential={CREDENTIAL}", "--timeout=30"])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call


@pytest.fixture
def gateway(deployment):
    address, peer, upstream = (f"127.0.0.1:{port}" for port in free_ports(3))
    peers = ",".join(deployment.peer[name] for name in deployment.api)
    daemon = [sys.executable, "-m", "finchwayd", "--instance=g1", "--roles=gateway"]
    daemon += ["--zone=north-a", "--region=north", "--zones=north-a=north"]
    daemon += [f"--gateway_address={address}", f"--peer_address={peer}"]
    running = [
        subprocess.Popen([*daemon, f"--control_peers={peers}"], stdout=subprocess.DEVNULL),
        subprocess.Popen(
            [sys.executable, "-m", "http.server", upstream.rpartition(":")[2]]
            + ["--bind", "127.0.0.1"],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        ),
    ]
    yield address, upstream, running[0]
    for process in running:
        process.kill()
        process.wait()


def send_request(address, path="/bays/"):
    headers = [(b"Host", b"a.example"), (b"Finchway-Request-Id", b"id-1")]
    return httpcore.request("GET", f"http://{address}{path}", headers=headers)


def wait_for(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        try:
            value = condition()
            if value:
                return value
        except httpcore.NetworkError:
            pass
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.05)


def heartbeat(deployment, upstream, state, sequence):
    body = {
        "address": upstream,
        "service": "bays",
        "zone": "north-a",
        "slots": 4,
        "state": state,
        "sequence": sequence,
    }
    api = next(iter(deployment.api.values()))
    answer = httpcore.request(
        "PUT",
        f"http://{api}/v1/steering/upstreams/i-1",
        headers=[(b"Authorization", f"Bearer {CREDENTIAL}".encode())],
        content=msgspec.json.encode(body),
    )
    assert answer.status == 200, answer.content


def test_routes_upstreams_and_evacuation_by_the_command_line(
    deployment, finchway, gateway, tmp_path
):
    address, upstream, process = gateway
    path = tmp_path / "items.yaml"
    path.write_text(ITEMS)
    assert wait_for(lambda: send_request(address).status == 503)
    code, out, _ = finchway("change", "-f", str(path))
    assert code == 0
    assert "3 items are held" in out
    assert wait_for(lambda: send_request(address, "/other").status == 404)
    sequences = itertools.count(1)

    def reaches_upstream():
        # The plain file server has no such path, so its own 404 proves that it got the request.
        heartbeat(deployment, upstream, "ready", next(sequences))
        return b"File not found" in send_request(address).content

    assert wait_for(reaches_upstream)
    code, out, _ = finchway("steering")
    assert code == 0
    assert "lookups" in out
    assert "i-1" in out
    assert "g1" in out
    assert finchway("evacuate", "north-a")[0] == 0
    assert wait_for(lambda: send_request(address).status == 503)
    assert json.loads(finchway("steering", "-o", "json")[1])["evacuated"] == ["north-a"]
    assert finchway("readmit", "north-a")[0] == 0
    assert wait_for(reaches_upstream)
    heartbeat(deployment, upstream, "draining", next(sequences))
    assert wait_for(lambda: send_request(address).status == 503)
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0


def test_invalid_items_are_reported_with_their_position(finchway, tmp_path):
    path = tmp_path / "items.yaml"
    path.write_text(
        "- {kind: route, name: r, version: 1, spec: {hots: a}}\n"
        "- {kind: what, name: r, version: 1}\n"
    )
    code, _, err = finchway("change", "-f", str(path))
    assert code == 2
    assert "items[0].spec: unknown field 'hots'" in err
    assert "items[1]" in err
    path.write_text(ITEMS.replace("bays, 1]", "nobody, 1]").replace("version: 1", "version: 9"))
    code, _, err = finchway("change", "-f", str(path))
    assert code == 2
    assert "no service 'nobody'" in err


def test_other_content_under_an_existing_version_is_a_conflict(finchway, tmp_path):
    path = tmp_path / "items.yaml"
    path.write_text(ITEMS)
    assert finchway("change", "-f", str(path))[0] == 0
    assert finchway("change", "-f", str(path))[0] == 0
    path.write_text(ITEMS.replace("timeout: 2", "timeout: 3"))
    assert finchway("change", "-f", str(path))[0] == 4
