"""The start of a `finchwayd` process, before anything that takes time to import.

By default, word of new settings (SIGHUP) ends a process, and importing finchway takes a part of a
second. Until the process watches for that signal, it is passed over: settings are read only after
the imports, so nothing is missed.
"""

from __future__ import annotations

import signal


def main(arguments: list[str] | None = None) -> None:
    """Run `finchwayd`; exits with 2 if the settings are wrong."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from finchway.daemon import main as run

    run(arguments)
