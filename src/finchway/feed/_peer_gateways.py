"""The gateways among which a deployment-wide limit is divided."""

from __future__ import annotations

# Time for which a gateway that is no longer listed still counts. Replicas that have just started
# list only a few gateways, each of which would take too large a part otherwise.
RETENTION_S = 3.0


class PeerGateways:
    """The gateways that recently accepted callers, with their regions."""

    def __init__(self) -> None:
        self._current: dict[str, str] = {}
        self._departed: dict[str, tuple[str, float]] = {}
        self._counted: dict[str, str] = {}
        self._changes = 0

    @property
    def changes(self) -> int:
        """A counter that grows whenever the set of counted gateways changes."""
        return self._changes

    def update(self, regions_by_name: dict[str, str], now: float) -> None:
        """Set the gateways that are listed now, with their regions."""
        if regions_by_name == self._current:
            return
        gone = {name: (region, now) for name, region in self._current.items()}
        self._departed = {
            n: held for n, held in (self._departed | gone).items() if n not in regions_by_name
        }
        self._current = regions_by_name
        self._rebuild()

    def regions(self, now: float) -> dict[str, str]:
        """Return the regions of the counted gateways, by name."""
        over = [name for name, (_, since) in self._departed.items() if now - since > RETENTION_S]
        if over:
            self._departed = {n: held for n, held in self._departed.items() if n not in over}
            self._rebuild()
        return self._counted

    def _rebuild(self) -> None:
        self._counted = self._current | {
            name: region for name, (region, _) in self._departed.items()
        }
        self._changes += 1
