"""Questions to the kernel about a connection, answered without reading from it."""

from __future__ import annotations

import select


def has_event(descriptor: int, event: int) -> bool:
    """Return whether a socket has an event of `select.poll` pending, or is closed."""
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))


def peer_has_closed(descriptor: int) -> bool:
    """Return whether the peer has closed its side, even if data from before is still unread."""
    return has_event(descriptor, select.POLLRDHUP)
