"""Entry point of `finchwayd`, which ignores SIGHUP while the rest of finchway is imported.

The default action of SIGHUP (reload settings) would kill the process during the imports. Ignoring
it until the handler is installed loses nothing, because settings are read after the imports.
"""

from __future__ import annotations

import signal


def main(arguments: list[str] | None = None) -> None:
    """Run `finchwayd`; exits with status 2 if the settings are invalid."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from finchway.daemon import main as run

    run(arguments)
