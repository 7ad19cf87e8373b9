"""Log lines on standard output that never hold up the process.

Lines wait in two bounded queues; a task writes them in batches from a thread. When a reader is
slow, the queues fill: lines of requests that went well are dropped first, those of failures and
of changed beliefs only when their own queue is full. Drops are counted and reported.
"""

from __future__ import annotations

import os
from collections import deque

import trio

FLUSH_EVERY_S = 0.2
VITAL_LINES = 4_000
ROUTINE_LINES = 2_000
BATCH_BYTES = 256 * 1024
BYTES_PER_S = 512 * 1024


class LogWriter:
    """The bounded way to one file descriptor."""

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._vital: deque[bytes] = deque()
        self._routine: deque[bytes] = deque()
        self._dropped = 0
        self._allowance = float(BYTES_PER_S)

    @property
    def dropped(self) -> int:
        """How many lines have been dropped since the start."""
        return self._dropped

    @property
    def waiting(self) -> int:
        """How many lines wait to be written."""
        return len(self._vital) + len(self._routine)

    def put(self, line: bytes, vital: bool) -> None:
        """Queue a line; returns at once, and counts the line if there is no room."""
        queue, most = (self._vital, VITAL_LINES) if vital else (self._routine, ROUTINE_LINES)
        if len(queue) >= most:
            self._dropped += 1
            return
        queue.append(line)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await trio.sleep(FLUSH_EVERY_S)
            self._allowance = min(BYTES_PER_S, self._allowance + FLUSH_EVERY_S * BYTES_PER_S)
            while batch := self._take():
                await trio.to_thread.run_sync(self._write, batch, abandon_on_cancel=True)

    def finish(self) -> None:
        """Write what is left as far as the reader takes it without waiting."""
        self._allowance = float(BYTES_PER_S)
        os.set_blocking(self._descriptor, False)
        try:
            while batch := self._take():
                os.write(self._descriptor, batch)
        except OSError:
            self._dropped += self.waiting
        finally:
            os.set_blocking(self._descriptor, True)

    def _take(self) -> bytes:
        """Return the next batch, the vital lines first, within the byte rate."""
        lines: list[bytes] = []
        size = 0
        for queue in (self._vital, self._routine):
            while queue and size < BATCH_BYTES:
                if queue is self._routine and self._allowance <= size:
                    break
                line = queue.popleft()
                lines.append(line)
                size += len(line) + 1
        self._allowance -= size
        return b"\n".join([*lines, b""]) if lines else b""

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        try:
            while view:
                view = view[os.write(self._descriptor, view) :]
        except OSError:
            self._dropped += bytes(view).count(b"\n")
