"""The capacity of an upstream that an attempt has reserved."""

from __future__ import annotations

from msgspec import Struct

from finchway.gateway._connection import UpstreamConnection
from finchway.gateway._record import UpstreamRecord


class Reservation(Struct, eq=False):
    """One attempt's reservation at an upstream.

    `carried_by` has the connections that the request was sent on before. `is_trial` marks the trial
    request after a backoff, `is_counted` a request that counts against the upstream's named limit,
    and `is_sent` one that was sent.
    """

    record: UpstreamRecord
    request_id: str
    carried_by: set[UpstreamConnection]
    is_trial: bool = False
    is_counted: bool = False
    is_sent: bool = False

    @property
    def incarnation(self) -> str:
        """The incarnation of the upstream."""
        return self.record.registration.incarnation
