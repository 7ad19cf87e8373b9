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

        with SignalHandlers(stop.set, reload) as signals:
            await stop.wait()
            await shut_down(signals.stopped_at)
    """

    def __init__(self, on_stop: Callable[[], object], on_reload: Callable[[], object]) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._callbacks = dict.fromkeys(STOP_SIGNALS, on_stop)
        self._callbacks |= dict.fromkeys(RELOAD_SIGNALS, on_reload)
        self._stopped_at = float("inf")

    @property
    def stopped_at(self) -> float:
        """When the first stop signal arrived, on trio's clock; infinity before."""
        return self._stopped_at

    def __enter__(self) -> SignalHandlers:
        for number in self._callbacks:
            signal.signal(number, self._dispatch)
        return self

    def __exit__(self, *_: object) -> None:
        # At interpreter shutdown Python-level handlers are reset, but SIG_IGN is kept.
        for number in self._callbacks:
            signal.signal(number, signal.SIG_IGN)

    def _dispatch(self, number: int, _: FrameType | None) -> None:
        if number in STOP_SIGNALS:
            # The callback runs only when the loop gets to it, which may be much later.
            self._stopped_at = min(self._stopped_at, trio.current_time())
        with suppress(trio.RunFinishedError):
            self._token.run_sync_soon(self._callbacks[signal.Signals(number)], idempotent=True)
