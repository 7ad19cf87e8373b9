"""Encrypted links and TLS, by settings, with real processes."""

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
def secure(tmp_path_factory):
    """A deployment with CURVE links and TLS towards callers and operators."""
    folder = tmp_path_factory.mktemp("secure")
    authority = trustme.CA()
    authority.cert_pem.write_to_path(folder / "ca.pem")
    certificate = authority.issue_cert("127.0.0.1")
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    for pem in certificate.cert_chain_pems:
        pem.write_to_path(folder / "cert.pem", append=True)
    make_keys(folder / "keys")
    made = Deployment(folder, SMALL, entries=1, replicas=1)
    made.extra = [
        f"--keys_file={folder / 'keys'}",
        f"--tls_certificate={folder / 'cert.pem'}",
        f"--tls_key={folder / 'key.pem'}",
    ]
    made.ca_file = str(folder / "ca.pem")
    try:
        made.start_declared()
        yield made
    finally:
        made.stop()


def test_callers_and_operators_use_tls(secure, capsys):
    context = ssl.create_default_context(cafile=secure.ca_file)
    headers = [("authorization", f"Bearer {credential_of('gold')}"), ("x-call", "tls")]
    with httpcore.ConnectionPool(ssl_context=context) as pool:
        url = f"https://{secure.entry['e1']}/s/bays/call"
        assert pool.request("GET", url, headers=headers).status == 200
    api = f"--api={secure.api['c1']}"
    options = [api, f"--credential={CREDENTIAL}", f"--ca_file={secure.ca_file}"]
    assert run(["get", "region", *options]) == 0
    assert "north" in capsys.readouterr().out
    with pytest.raises(httpcore.NetworkError):
        httpcore.request("GET", f"https://{secure.entry['e1']}/healthz")


def test_a_process_without_the_key_is_not_let_in(secure, tmp_path):
    """An entry with other keys gets no configuration; one with the right keys does."""
    make_keys(tmp_path / "other")
    stranger = [flag for flag in secure.extra if "keys_file" not in flag]
    good, secure.extra = secure.extra, [*stranger, f"--keys_file={tmp_path / 'other'}"]
    secure.entry["e9"], secure.entry_peer["e9"] = "127.0.0.1:9907", "127.0.0.1:9908"
    secure.entry_zone["e9"] = "north-a"
    secure.start_entry("e9")
    secure.extra = good
    context = ssl.create_default_context(cafile=secure.ca_file)

    def status() -> int:
        with httpcore.ConnectionPool(ssl_context=context) as pool:
            return pool.request("GET", f"https://{secure.entry['e9']}/readyz").status

    def answers() -> bool:
        try:
            return status() in (200, 503)
        except httpcore.NetworkError:
            return False

    secure.wait(answers, "the stranger to listen")
    # While three changes reach the entry with the right keys, the stranger gets nothing.
    for number in range(3):
        spec = {"latency_ms": {"north": float(number)}}
        revision = secure.client.put("region", "probe", spec)["revision"]
        secure.wait_in_force(revision, 1)
    assert status() == 503
    client = ApiClient([secure.api["c1"]], CREDENTIAL, secure.ca_file)
    assert {e["instance"] for e in client.read("/v1/entries")["entries"]} == {"e1"}


def test_key_files_are_checked(tmp_path):
    path = tmp_path / "keys"
    with pytest.raises(SettingsError, match="No such file"):
        load_keys(path)
    path.write_text("short\n")
    with pytest.raises(SettingsError) as caught:
        load_keys(path)
    assert [f.place for f in caught.value.findings] == [f"{path}:1", str(path)]
