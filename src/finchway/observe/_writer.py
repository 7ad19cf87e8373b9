"""Non-blocking writer of log lines.

Lines are buffered in two bounded queues and written in batches from a worker thread. If the reader
is slow, routine lines (such as those of successful requests) are dropped first; vital lines, such
as those of failures, only once their own queue is full. Dropped lines are counted.
"""

from __future__ import annotations

import os
from collections import deque

import trio

FLUSH_INTERVAL_S = 0.2
MAX_VITAL_LINES = 4_000
MAX_ROUTINE_LINES = 2_000
MAX_BATCH_BYTES = 256 * 1024
MAX_BYTES_PER_S = 512 * 1024


class LogWriter:
    """Writes lines to a file descriptor through bounded queues."""

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._vital: deque[bytes] = deque()
        self._routine: deque[bytes] = deque()
        self._dropped = 0
        self._byte_budget = float(MAX_BYTES_PER_S)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._dropped

    @property
    def queued(self) -> int:
        """Number of lines that are not written yet."""
        return len(self._vital) + len(self._routine)

    def put(self, line: bytes, vital: bool) -> None:
        """Queue a line without blocking; if the queue is full, drop and count it."""
        queue, max_lines = (
            (self._vital, MAX_VITAL_LINES) if vital else (self._routine, MAX_ROUTINE_LINES)
        )
        if len(queue) >= max_lines:
            self._dropped += 1
            return
        queue.append(line)

    async def run(self) -> None:
        """Write queued lines periodically until cancelled."""
        while True:
            await trio.sleep(FLUSH_INTERVAL_S)
            self._byte_budget = min(
                MAX_BYTES_PER_S, self._byte_budget + FLUSH_INTERVAL_S * MAX_BYTES_PER_S
            )
            while batch := self._next_batch():
                await trio.to_thread.run_sync(self._write, batch, abandon_on_cancel=True)

    def finish(self) -> None:
        """Write the remaining lines without blocking; drop those that do not fit in the pipe."""
        self._byte_budget = float(MAX_BYTES_PER_S)
        os.set_blocking(self._descriptor, False)
        try:
            while batch := self._next_batch():
                os.write(self._descriptor, batch)
        except OSError:
            self._dropped += self.queued
        finally:
            os.set_blocking(self._descriptor, True)

    def _next_batch(self) -> bytes:
        """Return the next batch, vital lines first; only routine lines obey the byte rate."""
        lines: list[bytes] = []
        size = 0
        for queue in (self._vital, self._routine):
            while queue and size < MAX_BATCH_BYTES:
                if queue is self._routine and self._byte_budget <= size:
                    break
                line = queue.popleft()
                lines.append(line)
                size += len(line) + 1
        self._byte_budget -= size
        return b"\n".join([*lines, b""]) if lines else b""

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        try:
            while view:
                view = view[os.write(self._descriptor, view) :]
        except OSError:
            self._dropped += bytes(view).count(b"\n")
