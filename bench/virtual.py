"""Runs a trio program on virtual time, the same way every time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from trio._core import _run
from trio.testing import MockClock


def run_virtual(main: Callable[[], Awaitable[None]], seed: int = 1) -> None:
    """Run `main` under a clock that jumps; trio's shuffling of tasks is seeded."""
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    trio.run(main, clock=MockClock(autojump_threshold=0))
