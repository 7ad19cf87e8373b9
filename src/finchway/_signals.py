"""Handlers for the stop and reload signals of a process."""

from __future__ import annotations

import signal
from collections.abc import Callable
from contextlib import suppress
from types import FrameType

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNALS = (signal.SIGHUP,)


class SignalHandlers:
    """Context manager that runs callbacks on stop and reload signals, inside the trio loop.

    On exit the signals are set to be ignored, not restored: a second SIGTERM must not kill a
    process that is already shutting down. Handlers are only ever replaced, so the default action
    of a signal is never in effect.

        with SignalWatch(stop.set, reload):
            await stop.wait()
    """

    def __init__(self, on_stop: Callable[[], object], on_reload: Callable[[], object]) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._callbacks = dict.fromkeys(STOP_SIGNALS, on_stop)
        self._callbacks |= dict.fromkeys(RELOAD_SIGNALS, on_reload)

    def __enter__(self) -> SignalHandlers:
        for number in self._callbacks:
            signal.signal(number, self._dispatch)
        return self

    def __exit__(self, *_: object) -> None:
        # At interpreter shutdown Python-level handlers are reset, but SIG_IGN is kept.
        for number in self._callbacks:
            signal.signal(number, signal.SIG_IGN)

    def _dispatch(self, number: int, _: FrameType | None) -> None:
        with suppress(trio.RunFinishedError):
            self._token.run_sync_soon(self._callbacks[signal.Signals(number)], idempotent=True)
