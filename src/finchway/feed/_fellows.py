"""The gateways that sums are divided among."""

from __future__ import annotations

# Seconds for which a gateway that is not named any more still counts: replicas that have just
# started name few at first, and whoever believed them would take the parts of all the others.
HELD_S = 3.0


class Fellows:
    """The gateways that were lately known to take callers, with their regions."""

    def __init__(self) -> None:
        self._named: dict[str, str] = {}
        self._gone: dict[str, tuple[str, float]] = {}
        self._held: dict[str, str] = {}
        self._changes = 0

    @property
    def changes(self) -> int:
        """Grows whenever others count."""
        return self._changes

    def note(self, named: dict[str, str], now: float) -> None:
        """Take in which gateways are named now, with their regions."""
        if named == self._named:
            return
        gone = {name: (region, now) for name, region in self._named.items()}
        self._gone = {n: held for n, held in (self._gone | gone).items() if n not in named}
        self._named = named
        self._renew()

    def held(self, now: float) -> dict[str, str]:
        """Return the regions of the gateways that count, by name."""
        over = [name for name, (_, since) in self._gone.items() if now - since > HELD_S]
        if over:
            self._gone = {n: held for n, held in self._gone.items() if n not in over}
            self._renew()
        return self._held

    def _renew(self) -> None:
        self._held = self._named | {name: region for name, (region, _) in self._gone.items()}
        self._changes += 1
