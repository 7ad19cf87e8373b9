"""The newest heartbeat of each upstream, with the time at which it arrived.

Heartbeats are not committed: replicas pass them on to each other, and a replica that has just
started knows every upstream within one heartbeat interval. Heartbeats that only repeat the previous
one do not count as changes.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from finchway.registry._addresses import AddressOwners
from finchway.registry._upstream import Registration

COLD_TOLERANCE_S = 0.3
# Silence of a later incarnation after which an earlier one of the same id is accepted again, as
# happens when an upstream's clock was set back. Must exceed the delay of heartbeats in transit.
LATER_INCARNATION_TIMEOUT_S = 5.0


class ReceivedHeartbeat(Struct, frozen=True):
    """A registration, its arrival (monotonic clock, seconds) and its position in the changes.

    `cold_until` is the end of its cold start, as of its last change.
    """

    registration: Registration
    received_at: float
    order: int
    cold_until: float


class Registry:
    """Registrations by instance, in the order of their last change.

    With `owners`, an incarnation that was replaced at its address counts as silent.
    """

    def __init__(self, retention: float, owners: AddressOwners | None = None) -> None:
        self._retention = retention
        self._owners = owners
        self._newest: dict[str, ReceivedHeartbeat] = {}
        self._order = 0

    @property
    def order(self) -> int:
        """The position of the newest change."""
        return self._order

    def __len__(self) -> int:
        return len(self._newest)

    def record(self, registration: Registration, received_at: float) -> bool:
        """Record a heartbeat; return False if it is out of date and ignored.

        It is out of date if a newer one of its sender is known, or if its sender was replaced.
        """
        instance = registration.instance
        known = self._newest.get(instance)
        if known is not None and not registration.born:
            # Without a start time, it belongs to the known incarnation.
            registration = replace(registration, born=known.registration.born)
        if known is not None and self._is_late(known, registration, received_at):
            return False
        if self._owners and not self._owners.claim(registration, received_at, known is not None):
            return False
        cold_until = received_at + registration.cold_for
        if known is not None and _is_repeat(known, registration, received_at, cold_until):
            self._newest[instance] = ReceivedHeartbeat(
                registration, received_at, known.order, known.cold_until
            )
            return True
        self._order += 1
        self._newest.pop(instance, None)
        self._newest[instance] = ReceivedHeartbeat(
            registration, received_at, self._order, cold_until
        )
        return True

    def _is_late(
        self, known: ReceivedHeartbeat, registration: Registration, received_at: float
    ) -> bool:
        """Return whether a heartbeat is older than the known one of its instance.

        An incarnation with an earlier start time is accepted only if the later one is silent: then
        the upstream's clock was set back between the two.
        """
        earlier = known.registration
        if registration.born == earlier.born:
            return earlier.sequence >= registration.sequence
        if registration.born > earlier.born:
            return False
        return received_at - known.received_at < LATER_INCARNATION_TIMEOUT_S

    def remove(self, instance: str) -> None:
        """Remove an upstream and release its address."""
        received = self._newest.pop(instance, None)
        if received is not None and self._owners is not None:
            self._owners.release(received.registration)

    def get(self, instance: str) -> ReceivedHeartbeat | None:
        """Return the newest heartbeat of an upstream."""
        return self._newest.get(instance)

    def all(self) -> list[ReceivedHeartbeat]:
        """Return all upstreams, in the order of changes."""
        return list(self._newest.values())

    def since(self, order: int) -> list[ReceivedHeartbeat]:
        """Return the upstreams that have changed after a position, in order."""
        newer = []
        for received in reversed(self._newest.values()):
            if received.order <= order:
                break
            newer.append(received)
        newer.reverse()
        return newer

    def silent(self, now: float, silent_after: float) -> list[ReceivedHeartbeat] | None:
        """Return the upstreams without recent heartbeats, or that were replaced.

        None if that applies to all: then this process itself may be cut off.
        """
        oldest = now - silent_after
        silent = [
            received
            for received in self._newest.values()
            if received.received_at < oldest or self._was_replaced(received)
        ]
        return silent if len(silent) < len(self._newest) else None

    def remove_silent(self, now: float) -> list[str]:
        """Remove upstreams that have been silent for long; return their names."""
        oldest = now - self._retention
        silent = [name for name, received in self._newest.items() if received.received_at < oldest]
        for name in silent:
            self.remove(name)
        return silent

    def _was_replaced(self, received: ReceivedHeartbeat) -> bool:
        return self._owners is not None and not self._owners.owns(received.registration)


def _is_repeat(
    known: ReceivedHeartbeat, registration: Registration, received_at: float, cold_until: float
) -> bool:
    """Return whether a heartbeat only repeats the known one."""
    if not registration.has_same_content(known.registration):
        return False
    if registration.cold_for <= 0 and known.cold_until <= received_at:
        return True
    return abs(cold_until - known.cold_until) <= COLD_TOLERANCE_S
