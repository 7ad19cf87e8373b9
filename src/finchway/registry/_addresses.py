"""Which life of an upstream has each address.

Only one process listens at an address, so a life that registers there ends the one before it. A
heartbeat may be held up on its way until after that, and must not bring its sender back.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.registry._upstream import Registration


class _Holder(Struct):
    """The life that has an address, and when it was heard last."""

    registration: Registration
    heard_at: float


class AddressHolders:
    """The life at each address; it has it for as long as it is heard.

    One that was replaced can have been the living one after all, if a late heartbeat was the first
    that was heard of the other: it has the address again once the other is silent for `held_for`.
    """

    def __init__(self, held_for: float) -> None:
        self._held_for = held_for
        self._holders: dict[str, _Holder] = {}

    def take(self, registration: Registration, heard_at: float, is_known: bool) -> bool:
        """Give the address to the sender of a heartbeat; False if another has it.

        Of two that say when they were born, the later one has it. Otherwise a sender that is not
        known yet has started after the holder, if it was heard after it.
        """
        holder = self._holders.get(registration.address)
        if holder is not None and holder.registration.life != registration.life:
            is_heard = heard_at - holder.heard_at < self._held_for
            if is_heard and not self._comes_after(holder, registration, heard_at, is_known):
                return False
        self._holders[registration.address] = _Holder(registration, heard_at)
        return True

    def has(self, registration: Registration) -> bool:
        """Tell whether a life has the address that it registered."""
        holder = self._holders.get(registration.address)
        return holder is None or holder.registration.life == registration.life

    def release(self, registration: Registration) -> None:
        """Forget a life."""
        if self.has(registration):
            self._holders.pop(registration.address, None)

    def _comes_after(
        self, holder: _Holder, registration: Registration, heard_at: float, is_known: bool
    ) -> bool:
        held = holder.registration
        if held.born and registration.born and held.born != registration.born:
            return registration.born > held.born
        return not is_known and heard_at >= holder.heard_at
