"""The schedule of a planned stop, and the time of the signal that begins it."""

import subprocess
import sys

from finchway.policy import PlannedStop

STOP = PlannedStop.begin(told_at=100.0, ends_at=105.8, serve_for=3.0)
BEFORE, LATE = 102.0, 103.0


def test_early_request_is_taken_whatever_its_deadline():
    assert STOP.may_take(deadline=140.0, now=BEFORE)


def test_late_request_is_taken_only_if_its_deadline_lies_within_the_stop():
    assert STOP.may_take(deadline=105.55, now=LATE)
    assert not STOP.may_take(deadline=105.6, now=LATE)


def test_incomplete_request_is_taken_only_if_its_deadline_lies_within_the_stop():
    assert STOP.may_take(deadline=105.0, now=BEFORE, is_complete=False)
    assert not STOP.may_take(deadline=107.0, now=BEFORE, is_complete=False)


def test_upstreams_get_no_more_time_than_the_stop_leaves():
    assert STOP.upstream_deadline(104.0) == 104.0
    assert STOP.upstream_deadline(110.0) == STOP.answer_by < STOP.ends_at


def test_short_and_long_serving_both_leave_time_for_a_late_signal():
    assert PlannedStop.begin(told_at=0.0, ends_at=1.8, serve_for=1.0).late_from == 0.75
    assert PlannedStop.begin(told_at=0.0, ends_at=9.8, serve_for=5.0).late_from == 2.75


PROGRAM = """
import os, signal, time, trio
from finchway._signals import SignalHandlers

async def main():
    stop = trio.Event()
    with SignalHandlers(stop.set, lambda: None) as signals:
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)
        await stop.wait()
        print(trio.current_time() - signals.stopped_at)

trio.run(main)
"""


# A busy process timed its stop from when its loop got to the signal.
def test_stop_is_timed_from_the_first_signal_even_if_the_loop_is_busy():
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    assert 0.3 <= float(done.stdout) < 0.6
