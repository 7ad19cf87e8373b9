"""CURVE encryption between processes and TLS for callers and operators."""

from __future__ import annotations

import ssl

import httpcore
import pytest
import trustme

from bench.deploy import CREDENTIAL, Deployment
from bench.shapes import credential_of
from finchway.cli import run
from finchway.cli._client import ApiClient
from finchway.exceptions import SettingsError
from finchway.transport import load_keys, make_keys
from tests.process.conftest import SMALL

pytestmark = pytest.mark.xdist_group("security")


@pytest.fixture(scope="module")
def secure_deployment(tmp_path_factory):
    """Deployment with CURVE links between processes and TLS for callers and operators."""
    folder = tmp_path_factory.mktemp("secure")
    ca = trustme.CA()
    ca.cert_pem.write_to_path(folder / "ca.pem")
    certificate = ca.issue_cert("127.0.0.1")
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    for pem in certificate.cert_chain_pems:
        pem.write_to_path(folder / "cert.pem", append=True)
    make_keys(folder / "keys")
    deployment = Deployment(folder, SMALL, entries=1, replicas=1)
    deployment.extra = [
        f"--keys_file={folder / 'keys'}",
        f"--tls_certificate={folder / 'cert.pem'}",
        f"--tls_key={folder / 'key.pem'}",
    ]
    deployment.ca_file = str(folder / "ca.pem")
    try:
        deployment.start_declared()
        yield deployment
    finally:
        deployment.stop()


def test_callers_and_operators_use_tls(secure_deployment, capsys):
    context = ssl.create_default_context(cafile=secure_deployment.ca_file)
    headers = [("authorization", f"Bearer {credential_of('gold')}"), ("x-call", "tls")]
    with httpcore.ConnectionPool(ssl_context=context) as pool:
        url = f"https://{secure_deployment.entry['e1']}/s/bays/call"
        assert pool.request("GET", url, headers=headers).status == 200
    api = f"--api={secure_deployment.api['c1']}"
    options = [api, f"--credential={CREDENTIAL}", f"--ca_file={secure_deployment.ca_file}"]
    assert run(["get", "region", *options]) == 0
    assert "north" in capsys.readouterr().out
    with pytest.raises(httpcore.NetworkError):
        httpcore.request("GET", f"https://{secure_deployment.entry['e1']}/healthz")


def test_process_with_another_key_pair_gets_no_configuration(secure_deployment, tmp_path):
    make_keys(tmp_path / "other")
    other_flags = [flag for flag in secure_deployment.extra if "keys_file" not in flag]
    original_flags, secure_deployment.extra = secure_deployment.extra, [
        *other_flags,
        f"--keys_file={tmp_path / 'other'}",
    ]
    secure_deployment.entry["e9"], secure_deployment.entry_peer["e9"] = (
        "127.0.0.1:9907",
        "127.0.0.1:9908",
    )
    secure_deployment.entry_zone["e9"] = "north-a"
    secure_deployment.start_entry("e9")
    secure_deployment.extra = original_flags
    context = ssl.create_default_context(cafile=secure_deployment.ca_file)

    def status() -> int:
        with httpcore.ConnectionPool(ssl_context=context) as pool:
            return pool.request("GET", f"https://{secure_deployment.entry['e9']}/readyz").status

    def is_listening() -> bool:
        try:
            return status() in (200, 503)
        except httpcore.NetworkError:
            return False

    secure_deployment.wait(is_listening, "the entry with other keys to listen")
    # Three changes reach the entry with the right keys; the one with other keys stays unready.
    for number in range(3):
        spec = {"latency_ms": {"north": float(number)}}
        revision = secure_deployment.client.put("region", "probe", spec)["revision"]
        secure_deployment.wait_in_force(revision, 1)
    assert status() == 503
    client = ApiClient([secure_deployment.api["c1"]], CREDENTIAL, secure_deployment.ca_file)
    assert {e["instance"] for e in client.read("/v1/entries")["entries"]} == {"e1"}


def test_key_files_are_validated(tmp_path):
    path = tmp_path / "keys"
    with pytest.raises(SettingsError, match="No such file"):
        load_keys(path)
    path.write_text("short\n")
    with pytest.raises(SettingsError) as caught:
        load_keys(path)
    assert [f.place for f in caught.value.findings] == [f"{path}:1", str(path)]
