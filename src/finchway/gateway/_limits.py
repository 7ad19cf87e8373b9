"""The limits that upstreams name, and this gateway's part of each."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import trio

from finchway.feed import World
from finchway.gateway._askings import MOST_SHOWN
from finchway.gateway._record import UpstreamRecord
from finchway.observe import BeliefChanged, DecisionLog, LimitTotals
from finchway.policy import part_of_limit
from finchway.pushback import MOST_LIMITS, Allowances, Asked, LimitWords, NamedLimit, Part


class LimitDesk:
    """Keeps one gateway to its part of what upstreams take that name a limit.

    `region_of` returns the region of a life. What one gateway is told reaches the others by way of
    the replicas: `told` goes out, and `learn` takes in what comes.
    """

    def __init__(
        self,
        name: str,
        world: World,
        region_of: Callable[[str], str],
        decisions: DecisionLog,
    ) -> None:
        self._name = name
        self._world = world
        self._region_of = region_of
        self._decisions = decisions
        self._words = LimitWords()
        self._allowances = Allowances(self._words, random.Random(), self._part_of)
        self._parts: dict[str, tuple[float, Part]] = {}
        self._parts_of = -1
        self._totals: dict[str, LimitTotals] = {}
        self._note_lowered: Callable[[], None] = lambda: None

    @property
    def words(self) -> LimitWords:
        """What upstreams have named."""
        return self._words

    @property
    def allowances(self) -> Allowances:
        """What this gateway may send to upstreams that have named a limit."""
        return self._allowances

    def watch_lowered(self, note: Callable[[], None]) -> None:
        """Have it told when an upstream's answer names a limit, or a lower one."""
        self._note_lowered = note

    def note(self, life: str, asked: Asked, sent_at: float, now: float) -> None:
        """Take in what an answer to a request of `sent_at` names; nonsense changes nothing."""
        before = self._words.rate(life)
        if asked.unread_limit is not None:
            self._log(life, "unreadable", f"its limit: {asked.unread_limit[:MOST_SHOWN]}")
            if asked.limit is None:
                return
        if not self._words.hear(life, asked.limit, sent_at, now):
            return
        self._log_word(life, asked.limit, "its answer")
        if asked.limit is not None and (before is None or asked.limit < before):
            self._note_lowered()

    def learn(self, words: list[NamedLimit]) -> None:
        """Take in what upstreams have told other gateways."""
        now = trio.current_time()
        for named in words:
            if self._words.learn(named, now):
                self._log_word(named.life, named.rate, "control")

    def told(self) -> list[NamedLimit]:
        """Return what upstreams have told this gateway lately, for the others."""
        return self._words.told(trio.current_time())

    def totals(self, records: Iterable[UpstreamRecord], now: float) -> dict[str, LimitTotals]:
        """Return by service what upstreams that name a limit take, and what falls to this gateway.

        A service that has had such an upstream stays, with zeros once there is none.
        """
        for totals in self._totals.values():
            totals.upstreams, totals.named, totals.part = 0, 0.0, 0.0
        for record in records:
            life = record.registration.life
            limit, part = self._words.rate(life), self._allowances.part(life, now)
            if limit is None or part is None:
                continue
            totals = self._totals.setdefault(record.registration.service, LimitTotals())
            totals.upstreams += 1
            totals.named += limit
            totals.part += part.rate
        return self._totals

    def _part_of(self, life: str, limit: float, now: float) -> Part:
        """Return this gateway's part of a limit, worked out once for each change of gateways."""
        fellows = self._world.fellows
        regions = fellows.held(now)
        if fellows.changes != self._parts_of or len(self._parts) >= MOST_LIMITS:
            self._parts_of = fellows.changes
            self._parts = {}
        held = self._parts.get(life)
        if held is not None and held[0] == limit:
            return held[1]
        region = self._region_of(life)
        near = [name for name, where in regions.items() if where == region]
        part = part_of_limit(self._name, life, limit, near, regions)
        self._parts[life] = (limit, part)
        return part

    def _log_word(self, life: str, rate: float | None, source: str) -> None:
        if rate is None:
            self._log(life, "names no limit any more", source)
        else:
            self._log(life, "names a limit", f"{source}: {rate:g} a second")

    def _log(self, life: str, now: str, source: str) -> None:
        self._decisions.write(BeliefChanged(subject=f"upstream/{life}", now=now, source=source))
