"""Entry point of `finchwayd`, and what it does around the imports of the rest of finchway."""

from __future__ import annotations

import gc
import signal
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def importing() -> Iterator[None]:
    """Prepare the process for the imports within, and exempt them from garbage collection.

    SIGHUP (reload settings) is ignored, because its default action would kill the process. No
    reload is lost: settings are read after the imports. Modules live as long as the process, so
    collecting them, also at its end, only takes time.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    yield
    gc.freeze()
    gc.enable()


def main(arguments: list[str] | None = None) -> None:
    """Run `finchwayd`; exits with status 2 if the settings are invalid."""
    with importing():
        from finchway.daemon import main as run
    run(arguments)
