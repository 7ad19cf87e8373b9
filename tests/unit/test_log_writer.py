"""The log writer: bounded queues, no blocking, routine lines dropped first."""

import os

import msgspec
import trio

from finchway.observe import (
    AttemptEnded,
    DecisionLog,
    LogWriter,
    RequestEnded,
    StateChanged,
)
from finchway.observe._writer import MAX_ROUTINE_LINES, MAX_VITAL_LINES


def test_routine_lines_are_dropped_first_and_counted():
    writer = LogWriter()
    for _ in range(MAX_ROUTINE_LINES + 7):
        writer.put(b"routine", vital=False)
    for _ in range(MAX_VITAL_LINES):
        writer.put(b"vital", vital=True)
    assert writer.dropped == 7
    writer.put(b"vital", vital=True)
    assert writer.dropped == 8
    assert writer.queued == MAX_ROUTINE_LINES + MAX_VITAL_LINES


def test_a_reader_that_stops_reading_does_not_block_the_writer():
    async def check():
        reader, descriptor = os.pipe()
        writer = LogWriter(descriptor)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            for number in range(20_000):
                writer.put(b"x" * 200 + str(number).encode(), vital=True)
                if number % 1_000 == 0:
                    await trio.sleep(0.001)
            assert writer.dropped > 0
            assert writer.queued <= MAX_VITAL_LINES + MAX_ROUTINE_LINES
            nursery.cancel_scope.cancel()
        os.close(reader)
        writer.finish()
        os.close(descriptor)

    run_with_timeout(check)


def run_with_timeout(test):
    async def run():
        with trio.fail_after(20):
            await test()

    trio.run(run)


def test_lines_are_complete_and_in_order():
    async def check():
        reader, descriptor = os.pipe()
        writer = LogWriter(descriptor)
        log = DecisionLog("g1", writer)
        log.write(StateChanged(subject="zone/z", now="evacuated", revision=3))
        log.write(RequestEnded(id="a", status=503, reason="full", ms=1.0))
        writer.finish()
        os.close(descriptor)
        lines = [msgspec.json.decode(line) for line in os.read(reader, 65536).splitlines()]
        os.close(reader)
        assert [line["event"] for line in lines] == ["belief", "request"]
        assert all(line["instance"] == "g1" and line["t"] > 0 for line in lines)

    run_with_timeout(check)


def test_only_lines_of_successful_requests_are_routine():
    common = {"id": "a", "reason": "", "ms": 1.0}
    assert not RequestEnded(status=200, **common).is_vital
    assert RequestEnded(status=503, **common).is_vital
    assert RequestEnded(status=0, **common).is_vital
    attempt = {
        "id": "a", "number": 1, "key": "k", "upstream": "u", "zone": "z", "region": "r",
        "reason": "home", "busy": 0.0, "slots": 1, "report_ms": 0.0, "heard_ms": 0.0, "kept": 1.0,
        "choices": 1, "ms": 1.0,
    }  # fmt: skip
    assert not AttemptEnded(result="answered", **attempt).is_vital
    assert AttemptEnded(result="unknown", **attempt).is_vital
