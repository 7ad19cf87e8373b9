"""Tracks which incarnation of an upstream owns each address.

Only one process can listen at an address, so an incarnation that registers there replaces the
previous one. A delayed heartbeat of the previous one must not undo that.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.registry._upstream import Registration


class _Owner(Struct):
    """The incarnation that owns an address, and the time of its last heartbeat."""

    registration: Registration
    received_at: float


class AddressOwners:
    """The incarnation that owns each address, for as long as its heartbeats arrive.

    If the first heartbeat seen of an owner was a delayed one of a dead incarnation, the live one
    gets the address back once the owner has been silent for `owner_timeout` seconds.
    """

    def __init__(self, owner_timeout: float) -> None:
        self._owner_timeout = owner_timeout
        self._owners: dict[str, _Owner] = {}

    def claim(self, registration: Registration, received_at: float, is_known: bool) -> bool:
        """Assign the address to the sender of a heartbeat; return False if another owns it.

        Of two incarnations with known start times, the later one owns it. Otherwise a sender that
        is not known yet replaces the owner if its heartbeat is newer.
        """
        owner = self._owners.get(registration.address)
        if owner is not None and owner.registration.incarnation != registration.incarnation:
            is_live = received_at - owner.received_at < self._owner_timeout
            if is_live and not self._is_successor(owner, registration, received_at, is_known):
                return False
        self._owners[registration.address] = _Owner(registration, received_at)
        return True

    def owns(self, registration: Registration) -> bool:
        """Return whether an incarnation owns the address that it registered."""
        owner = self._owners.get(registration.address)
        return owner is None or owner.registration.incarnation == registration.incarnation

    def release(self, registration: Registration) -> None:
        """Release the address of an incarnation, if it owns it."""
        if self.owns(registration):
            self._owners.pop(registration.address, None)

    def _is_successor(
        self, owner: _Owner, registration: Registration, received_at: float, is_known: bool
    ) -> bool:
        current = owner.registration
        if current.born and registration.born and current.born != registration.born:
            return registration.born > current.born
        return not is_known and received_at >= owner.received_at
