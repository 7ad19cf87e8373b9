"""Signals during process start and shutdown.

A second SIGTERM during shutdown, or a SIGHUP during the imports at start, must not kill the process
by its default action.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from bench.deploy import CREDENTIAL, free_ports
from bench.signals import catches, ignores
from finchway.control import bootstrap

pytestmark = pytest.mark.xdist_group("signals")
EXIT_TIMEOUT_S = 10.0
SIGNAL_INTERVAL_S = 0.001


def launch(folder):
    """Start the `finchwayd` command as the only replica of a new cluster."""
    peer, api = (f"127.0.0.1:{port}" for port in free_ports(2))
    bootstrap(folder, "c1", peer, ["c1"], CREDENTIAL)
    command = [Path(sys.executable).with_name("finchwayd"), "--instance=c1", "--roles=control"]
    command += [f"--peer_address={peer}", f"--api_address={api}", f"--data_folder={folder}"]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)


def wait_until_started(process):
    """Wait until the process logs that it has started."""
    while b'"change":"start"' not in process.stdout.readline():
        assert process.poll() is None


def signal_until_exit(process, numbers):
    """Send the signals repeatedly until the process exits; returns its exit status."""
    deadline = time.monotonic() + EXIT_TIMEOUT_S
    while process.poll() is None:
        assert time.monotonic() < deadline
        for number in numbers:
            process.send_signal(number)
        time.sleep(SIGNAL_INTERVAL_S)
    return process.returncode


@pytest.mark.parametrize(
    "numbers",
    [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM), (signal.SIGINT, signal.SIGTERM)],
    ids=["stop", "reload-and-stop", "interrupt-and-stop"],
)
def test_repeated_stop_signals_end_in_exit_status_0(tmp_path, numbers):
    process = launch(tmp_path / "c1")
    wait_until_started(process)
    assert signal_until_exit(process, numbers) == 0


def test_reload_signal_during_imports_does_not_end_the_process(tmp_path):
    process = launch(tmp_path / "c1")
    try:
        while not ignores(process.pid, signal.SIGHUP):
            assert process.poll() is None
            assert not catches(process.pid, signal.SIGHUP), "SIGHUP was not ignored before"
        process.send_signal(signal.SIGHUP)
        wait_until_started(process)
    finally:
        process.kill()
        process.wait()
