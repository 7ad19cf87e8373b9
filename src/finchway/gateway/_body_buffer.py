"""The part of a request's body that is buffered before it is passed on."""

from __future__ import annotations

from finchway.transport import RECEIVE_BUFFER_BYTES, SMALL_BODY_BYTES, Holding

READ_BYTES = 64 * 1024
# A longer body is passed on as it arrives.
BUFFERED_BODY_BYTES = 1024 * 1024
# What a connection can hold of a body besides the buffered part: in the parser, and in the kernel.
UNPARSED_BYTES = READ_BYTES + RECEIVE_BUFFER_BYTES


class BodyBuffer:
    """The buffered part of a body; it draws on the clients' budget before it grows."""

    __slots__ = ("_data", "_declared", "_holding")

    def __init__(self, holding: Holding, declared: int | None) -> None:
        self._holding = holding
        self._declared = declared
        self._data = bytearray()

    @property
    def size(self) -> int:
        """The bytes buffered so far."""
        return len(self._data)

    def reserve(self) -> bool:
        """Draw what the body needs before more of it is read; return whether there is room.

        For a body with a length, everything is drawn at its start, so that one which has been begun
        isn't given up later. A short one needs nothing.
        """
        known = self.size if self._declared is None else self._declared
        if known <= SMALL_BODY_BYTES:
            return True
        return self._holding.resize(max(self._holding.size, self._needed_bytes()))

    def append(self, data: bytes | bytearray) -> None:
        """Buffer a further part."""
        self._data += data

    def finish(self) -> bytes:
        """Return the buffered part, and give back what was drawn beyond it."""
        if self.size > SMALL_BODY_BYTES or self._holding.size:
            self._holding.resize(self.size)
        body = bytes(self._data)
        self._data = bytearray()
        return body

    def _needed_bytes(self) -> int:
        longest = BUFFERED_BODY_BYTES + UNPARSED_BYTES
        if self._declared is not None:
            return min(self._declared, longest)
        # Drawn in steps, since chunks can be very small.
        steps = self.size // READ_BYTES + 1
        return min(steps * READ_BYTES + UNPARSED_BYTES, longest)
