"""The signals that a process acts on, from its start to its very end."""

from __future__ import annotations

import signal
from collections.abc import Callable
from contextlib import suppress
from types import FrameType

import trio

STOPS = (signal.SIGTERM, signal.SIGINT)
RELOADS = (signal.SIGHUP,)


class SignalWatch:
    """Calls back on a request to stop or to reload, within a running trio loop.

    Whoever leaves it is ending, and signals are passed over from then on: a second request to stop
    must not end a process by the signal while it is on its way out. Handlers are only ever
    replaced, so there is no moment at which a signal has its default action.

        with SignalWatch(stop.set, reload):
            await stop.wait()
    """

    def __init__(self, on_stop: Callable[[], object], on_reload: Callable[[], object]) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._callbacks = dict.fromkeys(STOPS, on_stop)
        self._callbacks |= dict.fromkeys(RELOADS, on_reload)

    def __enter__(self) -> SignalWatch:
        for number in self._callbacks:
            signal.signal(number, self._note)
        return self

    def __exit__(self, *_: object) -> None:
        # The interpreter gives Python's own handlers up while it ends, but leaves this one.
        for number in self._callbacks:
            signal.signal(number, signal.SIG_IGN)

    def _note(self, number: int, _: FrameType | None) -> None:
        with suppress(trio.RunFinishedError):
            self._token.run_sync_soon(self._callbacks[signal.Signals(number)], idempotent=True)
