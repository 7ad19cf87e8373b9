"""The command-line tool against real processes: output, waiting, errors and exit codes."""

from __future__ import annotations

import json

import msgspec
import pytest

from bench.deploy import CREDENTIAL
from finchway.cli import run

pytestmark = pytest.mark.xdist_group("cli")


@pytest.fixture
def finchway(deployment, capsys):
    """Run the tool in this process; returns exit code, standard output and standard error."""

    def call(*arguments: str, credential: str = CREDENTIAL):
        api = ",".join(deployment.api.values())
        code = run([*arguments, f"--api={api}", f"--credential={credential}", "--timeout=30"])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call


def test_apply_get_describe_and_delete(finchway, tmp_path):
    path = tmp_path / "r.yaml"
    path.write_text(
        "- {kind: zone, name: far-a, spec: {region: far}}\n"
        "- {kind: region, name: far, spec: {latency_ms: {north: 5}}}\n"
    )
    code, out, _ = finchway("apply", "-f", str(path), "--wait")
    assert code == 0 and "region/far generation 1" in out and "is in force" in out
    code, out, _ = finchway("get", "region")
    assert code == 0 and out.splitlines()[0].split()[:2] == ["NAME", "GENERATION"]
    code, out, _ = finchway("get", "region", "far", "-o", "json")
    assert json.loads(out)["spec"] == {"latency_ms": {"north": 5.0}}
    code, out, _ = finchway("describe", "zone", "far-a")
    assert json.loads(out)["kind"] == "zone"
    code, _, err = finchway("delete", "region", "far")
    assert code == 2 and "zone/far-a.region: still refers to region/far" in err
    assert finchway("delete", "zone", "far-a")[0] == 0
    assert finchway("delete", "region", "far", "--expected=7")[0] == 4
    assert finchway("delete", "region", "far", "--expected=1")[0] == 0
    assert finchway("get", "region", "far")[0] == 5


def test_errors_show_findings_and_set_the_exit_code(finchway, tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("- {kind: zone, name: z, spec: {regoin: x}}\n- {kind: what, name: y}\n")
    code, _, err = finchway("apply", "-f", str(path))
    assert code == 2
    assert f"{path}[0].spec.regoin: unknown field" in err and f"{path}[1].kind" in err
    path.write_text("- {kind: zone, name: z, spec: {region: nowhere}}\n")
    code, _, err = finchway("apply", "-f", str(path))
    assert code == 2 and "zone/z.region: no such region" in err
    path.write_text("{{{")
    assert finchway("apply", "-f", str(path))[0] == 2
    assert finchway("apply", "-f", str(tmp_path / "none"))[0] == 2
    assert finchway("get")[0] == 2
    assert finchway("fly")[0] == 2
    assert finchway("get", "region", "--no_such_option=1")[0] == 2
    assert finchway("get", "region", credential="wrong")[0] == 7


def test_unreachable_api_exits_with_8_and_invalid_address_with_2(capsys):
    assert run(["get", "region", "--api=127.0.0.1:1"]) == 8
    assert run(["get", "region", "--api=localhost:1"]) == 2
    capsys.readouterr()


def test_operator_with_read_role_may_not_change(finchway, deployment):
    code, out, _ = finchway("credential", "-o", "json")
    created = json.loads(out)
    spec = {"role": "read", "credential": created["digest"]}
    deployment.client.put("operator", "reader", spec)
    assert finchway("get", "region", credential=created["credential"])[0] == 0
    code, _, err = finchway("undrain", "zone/x", credential=created["credential"])
    assert code == 7 and "may only read" in err


def test_drain_and_undrain_wait_until_done(finchway, deployment):
    address = next(c.address for s, _, c in deployment.upstreams if s == "bays")
    code, out, _ = finchway("drain", f"upstream/{address}", "--wait")
    assert code == 0 and "done" in out
    assert finchway("undrain", f"upstream/{address}", "--wait")[0] == 0
    code, _, err = finchway("drain", "upstream/10.0.0.1:1")
    assert code == 2 and "no pool has an upstream" in err


def test_status_and_events_cover_all_processes(finchway):
    code, out, _ = finchway("status")
    assert code == 0 and "in force at" in out and "leader" in out and "e1" in out
    code, out, _ = finchway("events", "-o", "json")
    events = [msgspec.json.decode(line) for line in out.splitlines()]
    assert {e["instance"] for e in events} >= {"e1", "e2", "c1", "c2", "c3"}
    clocks = [e["clock"] for e in events]
    assert clocks == sorted(clocks)
    accepted = next(e for e in events if e["subject"] == "region/north")
    applied = [e for e in events if e["kind"] == "revision-applied" and e["instance"] == "e1"]
    assert any(e["clock"] > accepted["clock"] for e in applied)


def test_replica_command_lists_voters_and_rejects_unknown_ones(finchway):
    code, out, _ = finchway("replica", "list")
    assert code == 0 and out.count("voter") == 3
    assert finchway("replica", "remove", "c9")[0] == 4
    assert finchway("replica", "dance")[0] == 2


def test_bootstrap_and_keys_refuse_to_overwrite(finchway, tmp_path):
    folder = str(tmp_path / "data")
    code, out, _ = finchway("bootstrap", "c1", "127.0.0.1:7200", folder)
    assert code == 0 and "credential" in out
    code, _, err = finchway("bootstrap", "c1", "127.0.0.1:7200", folder)
    assert code == 1 and "already holds a replica" in err
    assert finchway("bootstrap", "c1", "here", folder)[0] == 2
    keys = str(tmp_path / "keys")
    assert finchway("keys", keys)[0] == 0
    assert finchway("keys", keys)[0] == 1


def test_help_lists_every_command(capsys):
    assert run(["--help"]) == 0
    out = capsys.readouterr().out
    assert "exit codes" in out and "bootstrap" in out and "--wait" in out
