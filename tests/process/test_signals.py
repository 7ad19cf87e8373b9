"""A planned stop that is asked for more than once.

Symptom: a replica that was told to stop twice within 0.1 s ended with the signal instead of 0
(soak seed 637). Sequence: the first SIGTERM is carried out; the second comes while the process is
on its way out. Cause: whoever watched the signals had gone by then, and SIGTERM had its default
action again. What settled it: the codes of a process that gets SIGTERM all the time until it ends.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import time

import pytest

from bench.deploy import CREDENTIAL, free_ports
from finchway.control import bootstrap

pytestmark = pytest.mark.xdist_group("signals")
ENDS_WITHIN_S = 10.0
BETWEEN_S = 0.001


def start(folder):
    """Start a replica on a new cluster of its own; returns it once it has said that it started."""
    peer, api = (f"127.0.0.1:{port}" for port in free_ports(2))
    bootstrap(folder, "c1", peer, ["c1"], CREDENTIAL)
    command = [sys.executable, "-m", "finchway.daemon", "--instance=c1", "--roles=control"]
    command += [f"--peer_address={peer}", f"--api_address={api}", f"--data_folder={folder}"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    while b'"change":"start"' not in process.stdout.readline():
        assert process.poll() is None
    return process


def stop_again_and_again(process, numbers):
    """Send signals until the process has ended; returns its code."""
    deadline = time.monotonic() + ENDS_WITHIN_S
    while process.poll() is None:
        assert time.monotonic() < deadline
        for number in numbers:
            process.send_signal(number)
        time.sleep(BETWEEN_S)
    return process.returncode


@pytest.mark.parametrize(
    "numbers",
    [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM), (signal.SIGINT, signal.SIGTERM)],
    ids=["stop", "reload-and-stop", "interrupt-and-stop"],
)
def test_a_stop_that_is_asked_for_again_and_again_ends_well(tmp_path, numbers):
    process = start(tmp_path / "c1")
    assert stop_again_and_again(process, numbers) == 0
