"""Signals that come before a process watches for them, and after it has stopped to.

A planned stop that is asked for more than once.

Symptom: a replica that was told to stop twice within 0.1 s ended with the signal instead of 0
(soak seed 637). Sequence: the first SIGTERM is carried out; the second comes while the process is
on its way out. Cause: whoever watched the signals had gone by then, and SIGTERM had its default
action again. What settled it: the codes of a process that gets SIGTERM all the time until it ends.

Word of new settings that comes early. Symptom: a replica that was started anew ended with SIGHUP,
code -1 (soak seed 658, beside load). Sequence: two planned stops overlap; the second sends word of
new settings to the process that the first has just started. Cause: it was still importing, which
takes 0.3 s and more, and SIGHUP had its default action until then; the start on the users' platform
passed it over, the command `finchwayd` did not. What settled it: the plan of the run (stops of c1
at 2.38 s and 2.66 s), and the signal masks of a process while it imports.
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
ENDS_WITHIN_S = 10.0
BETWEEN_S = 0.001


def launch(folder):
    """Launch the command for a replica on a new cluster of its own."""
    peer, api = (f"127.0.0.1:{port}" for port in free_ports(2))
    bootstrap(folder, "c1", peer, ["c1"], CREDENTIAL)
    command = [Path(sys.executable).with_name("finchwayd"), "--instance=c1", "--roles=control"]
    command += [f"--peer_address={peer}", f"--api_address={api}", f"--data_folder={folder}"]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)


def until_started(process):
    """Return once a process has said that it started."""
    while b'"change":"start"' not in process.stdout.readline():
        assert process.poll() is None


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
    process = launch(tmp_path / "c1")
    until_started(process)
    assert stop_again_and_again(process, numbers) == 0


def test_word_of_new_settings_does_not_end_a_command_that_is_still_importing(tmp_path):
    process = launch(tmp_path / "c1")
    try:
        while not ignores(process.pid, signal.SIGHUP):
            assert process.poll() is None
            assert not catches(process.pid, signal.SIGHUP), "until now it would have ended it"
        process.send_signal(signal.SIGHUP)
        until_started(process)
    finally:
        process.kill()
        process.wait()
