"""The newest heartbeat of each upstream, with the time at which it was heard.

Heartbeats are not committed: each replica passes on what it hears, and an upstream that a new
replica does not know is back within one heartbeat. Most heartbeats only repeat what the one
before them said; the order of changes leaves these out.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from finchway.registry._addresses import AddressHolders
from finchway.registry._upstream import Registration

COLD_TOLERANCE_S = 0.3
# Seconds of silence of a later life until an earlier one of the same id is believed again: longer
# than heartbeats are known to be held up on their way, short enough that an upstream whose clock
# was set back is used again within seconds.
LATER_LIFE_HEARD_S = 5.0


class Heard(Struct, frozen=True):
    """A registration, when it was heard (steady clock, seconds), and its place in the order.

    `cold_until` is when it stops being cold as it was told when it took its place.
    """

    registration: Registration
    heard_at: float
    order: int
    cold_until: float


class Registry:
    """Registrations by instance, in the order in which they last said something new.

    With `holders`, an incarnation that was replaced at its address is silent from then on.
    """

    def __init__(self, forget_after: float, holders: AddressHolders | None = None) -> None:
        self._forget_after = forget_after
        self._holders = holders
        self._heard: dict[str, Heard] = {}
        self._order = 0

    @property
    def order(self) -> int:
        """The place of the newest change."""
        return self._order

    def __len__(self) -> int:
        return len(self._heard)

    def record(self, registration: Registration, heard_at: float) -> bool:
        """Take in a heartbeat; False for one that came late, which is passed over.

        It has come late if a newer one of its sender was heard, or if its sender was replaced.
        """
        instance = registration.instance
        held = self._heard.get(instance)
        if held is not None and not registration.born:
            # One that does not tell its start is no other life than the one that is known.
            registration = replace(registration, born=held.registration.born)
        if held is not None and self._is_late(held, registration, heard_at):
            return False
        if self._holders and not self._holders.take(registration, heard_at, held is not None):
            return False
        cold_until = heard_at + registration.cold_for
        if held is not None and _repeats(held, registration, heard_at, cold_until):
            self._heard[instance] = Heard(registration, heard_at, held.order, held.cold_until)
            return True
        self._order += 1
        self._heard.pop(instance, None)
        self._heard[instance] = Heard(registration, heard_at, self._order, cold_until)
        return True

    def _is_late(self, held: Heard, registration: Registration, heard_at: float) -> bool:
        """Tell whether a heartbeat is older than the one that is held of its instance.

        An earlier life is over, unless the later one falls silent and the earlier is heard after
        that: then the upstream's clock was set back between its two lives.
        """
        earlier = held.registration
        if registration.born == earlier.born:
            return earlier.sequence >= registration.sequence
        if registration.born > earlier.born:
            return False
        return heard_at - held.heard_at < LATER_LIFE_HEARD_S

    def remove(self, instance: str) -> None:
        """Forget an upstream."""
        heard = self._heard.pop(instance, None)
        if heard is not None and self._holders is not None:
            self._holders.release(heard.registration)

    def get(self, instance: str) -> Heard | None:
        """Return what was heard last of an upstream."""
        return self._heard.get(instance)

    def all(self) -> list[Heard]:
        """Return everything that is known, in the order of changes."""
        return list(self._heard.values())

    def since(self, order: int) -> list[Heard]:
        """Return what has said something new after a place in the order."""
        newer = []
        for heard in reversed(self._heard.values()):
            if heard.order <= order:
                break
            newer.append(heard)
        newer.reverse()
        return newer

    def silent(self, now: float, silent_after: float) -> list[Heard] | None:
        """Return the upstreams that have not been heard for a while, or that were replaced.

        None if no upstream has: then it may be this process that hears nothing.
        """
        oldest = now - silent_after
        silent = [
            heard
            for heard in self._heard.values()
            if heard.heard_at < oldest or self._was_replaced(heard)
        ]
        return silent if len(silent) < len(self._heard) else None

    def forget_silent(self, now: float) -> list[str]:
        """Drop the upstreams that have been silent for long; returns their names."""
        oldest = now - self._forget_after
        silent = [name for name, heard in self._heard.items() if heard.heard_at < oldest]
        for name in silent:
            self.remove(name)
        return silent

    def _was_replaced(self, heard: Heard) -> bool:
        return self._holders is not None and not self._holders.has(heard.registration)


def _repeats(held: Heard, registration: Registration, heard_at: float, cold_until: float) -> bool:
    """Tell whether a heartbeat says nothing that the held one has not said."""
    if not registration.says_same(held.registration):
        return False
    if registration.cold_for <= 0 and held.cold_until <= heard_at:
        return True
    return abs(cold_until - held.cold_until) <= COLD_TOLERANCE_S
