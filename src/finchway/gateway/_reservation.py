"""What an attempt has taken of what its upstream bears, until it is sent or given up."""

from __future__ import annotations

from msgspec import Struct

from finchway.gateway._record import UpstreamRecord


class Reservation(Struct, eq=False):
    """One attempt's claim on an upstream.

    `is_trial` tells that it is the first one after a rest, `is_counted` that it was counted against
    the limit that the upstream names, and `is_sent` that it has gone out.
    """

    record: UpstreamRecord
    request_id: str
    is_trial: bool = False
    is_counted: bool = False
    is_sent: bool = False

    @property
    def life(self) -> str:
        """The life of the upstream that it is for."""
        return self.record.registration.life
