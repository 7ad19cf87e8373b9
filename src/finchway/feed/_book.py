"""What a replica hears of gateways."""

from __future__ import annotations

from msgspec import Struct

from finchway.feed._messages import GatewayBeat, GatewayPeer, RegionDemand

# Seconds for which a zone counts as pressed after its gateways have said so. Its callers go to the
# whole region meanwhile, so its gateways say so no more; callers keep answers for up to 3 s, and
# come back to a zone that is still too small for them only once in this time.
HELPED_FOR_S = 8.0
# Part of a zone's gateways that are pressed when the zone is.
PRESSED_PART = 0.5


class HeardGateway(Struct, frozen=True):
    """A gateway's newest word and its age in seconds."""

    beat: GatewayBeat
    age: float


class GatewayBook:
    """The newest word of each gateway, by name; one that is silent for long is left out."""

    def __init__(self, silent_after: float) -> None:
        self._silent_after = silent_after
        self._heard: dict[str, tuple[GatewayBeat, float]] = {}
        self._pressed_at: dict[str, float] = {}

    def record(self, beat: GatewayBeat, heard_at: float) -> None:
        """Take in a beat; an older one of the same life is passed over."""
        held = self._heard.get(beat.name)
        if held is not None:
            same_life = held[0].incarnation == beat.incarnation
            if heard_at < held[1] or (same_life and held[0].sequence > beat.sequence):
                return
        self._heard[beat.name] = (beat, heard_at)
        if beat.pressed:
            self._note_pressed(beat.zone, heard_at)

    def live(self, now: float) -> list[HeardGateway]:
        """Return the gateways that were heard lately, by name."""
        self._forget(now)
        return [
            HeardGateway(beat, round(now - heard_at, 3))
            for _, (beat, heard_at) in sorted(self._heard.items())
        ]

    def serving(self, now: float) -> list[GatewayPeer]:
        """Return the live gateways that take callers, in order of their names."""
        self._forget(now)
        return [
            GatewayPeer(name, beat.peer, beat.region)
            for name, (beat, _) in sorted(self._heard.items())
            if beat.ready and not beat.leaving
        ]

    def demand(self, now: float) -> list[RegionDemand]:
        """Return what callers ask a second, summed over the live gateways of each region."""
        self._forget(now)
        sums: dict[tuple[str, str], float] = {}
        for beat, _ in self._heard.values():
            for rate in beat.rates:
                place = (beat.region, rate.service)
                sums[place] = sums.get(place, 0.0) + rate.rate
        return [
            RegionDemand(region, service, round(rate, 2))
            for (region, service), rate in sorted(sums.items())
        ]

    def is_pressed(self, zone: str, now: float) -> bool:
        """Tell whether a zone's callers ask for more than the links of its gateways carry."""
        return now - self._pressed_at.get(zone, float("-inf")) <= HELPED_FOR_S

    def _note_pressed(self, zone: str, now: float) -> None:
        beats = [beat for beat, _ in self._heard.values() if beat.zone == zone]
        pressed = sum(beat.pressed for beat in beats)
        if pressed >= PRESSED_PART * len(beats):
            self._pressed_at[zone] = now

    def _forget(self, now: float) -> None:
        oldest = now - self._silent_after
        for name in [n for n, (_, heard_at) in self._heard.items() if heard_at < oldest]:
            del self._heard[name]
