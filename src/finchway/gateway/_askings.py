"""What upstreams have asked of this gateway, by the life that asked, and the lines on it."""

from __future__ import annotations

import random

from msgspec import Struct

from finchway._clock import WALL
from finchway.observe import BeliefChanged, DecisionLog
from finchway.pushback import Asked, LeavingLives, LimitWords, RestBook
from finchway.registry import Registration

# Seconds by which the clocks of an upstream and of this gateway may differ.
CLOCKS_APART_S = 3.0
# Upstreams of which the newest asking is remembered.
MOST_ASKED = 4_096
# Characters of a header that makes no sense which are logged.
MOST_SHOWN = 40


class Asking(Struct, frozen=True):
    """The life in whose name an upstream asked last, and when, in Unix seconds."""

    life: str
    at: float


class Askings:
    """The rests and the leaving of upstreams, apart from their records.

    An upstream that is not heard of for a moment loses its record, and has asked all the same.
    `limits` are those that upstreams have named, which a later life may have to keep.
    """

    def __init__(self, decisions: DecisionLog, limits: LimitWords) -> None:
        self._decisions = decisions
        self._rests = RestBook(random.Random())
        self._leaving = LeavingLives()
        self._limits = limits
        self._newest: dict[str, Asking] = {}

    @property
    def rests(self) -> RestBook:
        """The rests that upstreams have asked for."""
        return self._rests

    def is_leaving(self, life: str) -> bool:
        """Tell whether a life has said that it leaves."""
        return life in self._leaving

    def note(self, upstream: Registration, asked: Asked, now: float) -> bool:
        """Take in and log what an answer asks; tells whether it is news that its life leaves."""
        life = upstream.life
        if asked.rest_s > 0:
            self._rests.ask(life, asked.rest_s, now)
            self._log(life, "asks for rest", f"its 503: {asked.rest_s:g} s")
        if asked.unread:
            self._log(life, "unreadable", f"its retry-after: {asked.unread[:MOST_SHOWN]}")
        if asked.rest_s > 0 or asked.leaving or asked.limit is not None:
            self._remember(upstream.instance, life)
        return asked.leaving and self._leaving.add(life)

    def pass_on(self, upstream: Registration) -> None:
        """Have a life that is new here keep what its upstream asked, if it may have been the one.

        On the wire two lives of an upstream cannot be told apart, and a gateway that is cut off
        hears of the later one late. Only one that began after the asking has asked for nothing.
        """
        newest = self._newest.get(upstream.instance)
        if newest is None or newest.life == upstream.life:
            return
        if upstream.born / 1000 > newest.at + CLOCKS_APART_S:
            return
        self._rests.pass_on(newest.life, upstream.life)
        self._limits.pass_on(newest.life, upstream.life)
        if newest.life in self._leaving:
            self._leaving.add(upstream.life)

    def _remember(self, instance: str, life: str) -> None:
        self._newest.pop(instance, None)
        self._newest[instance] = Asking(life, WALL.now())
        if len(self._newest) > MOST_ASKED:
            del self._newest[next(iter(self._newest))]

    def _log(self, life: str, now: str, source: str) -> None:
        self._decisions.write(BeliefChanged(subject=f"upstream/{life}", now=now, source=source))
