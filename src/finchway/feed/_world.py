"""What a gateway believes: the newest of what any replica told it."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from finchway.feed._fellows import Fellows
from finchway.feed._messages import Feed, RegionDemand, Roster
from finchway.registry import Registry
from finchway.state import Steering

# Seconds of silence after which an upstream is forgotten.
FORGET_SILENT_AFTER_S = 30.0
# Seconds for which the words of a replica that is not heard any more still count.
REPLICA_FRESH_S = 2.0
# Seconds that a gateway waits at its start for a replica whose state is confirmed, before it takes
# what others know: several elections long, since no replica is confirmed without a leader.
UNCONFIRMED_FOR_S = 3.0
# Seconds of age up to which a replica's state counts as confirmed at a gateway's start.
CONFIRMED_WITHIN_S = 1.5
# Seconds for which the largest number of serving gateways is kept: as long as a window of the
# budget for repeats, which is divided by it.
COUNT_HELD_S = 10.0


class ReplicaWord(Struct):
    """What one replica process said last, and when it was heard."""

    heard_at: float
    roster: Roster = Roster()
    demand: list[RegionDemand] = []
    demand_at: float = float("-inf")


class World:
    """The steering state, upstreams and fellow gateways as a gateway knows them.

    Replicas may differ, so what they say of who is there is kept by replica. The fresh ones count:
    those heard within a moment of the newest. When none is heard any more, their last words
    stand.
    """

    def __init__(self) -> None:
        self._steering = Steering()
        self._registry = Registry(FORGET_SILENT_AFTER_S)
        self._words: dict[str, ReplicaWord] = {}
        self._replicas: dict[str, str] = {}
        self._heard_at = float("-inf")
        self._first_heard_at = float("inf")
        self._confirmed = False
        self._is_whole = False
        self._covered_at = float("-inf")
        self._evacuation_changed_at: dict[str, float] = {}
        self._silent: frozenset[str] = frozenset()
        self._silent_since: dict[str, float] = {}
        self._serving: tuple[str, ...] = ()
        self._peers: dict[str, str] = {}
        self._fellows = Fellows()
        self._counts: deque[tuple[float, int]] = deque()
        self._changes = 0

    @property
    def steering(self) -> Steering:
        """The committed state as far as it is known here."""
        return self._steering

    @property
    def registry(self) -> Registry:
        """What the upstreams say of themselves."""
        return self._registry

    @property
    def replicas(self) -> dict[str, str]:
        """The addresses of the replicas by name."""
        return self._replicas

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is known that a quorum stood behind a moment ago.

        One replica must have told of all its upstreams too, since the first few would be overrun.
        A replica that was cut off may know an old configuration only; it has to do after a few
        seconds in which no other was heard.
        """
        if self._steering.catalog.is_empty or not self._is_whole:
            return False
        return self._confirmed or self._heard_at - self._first_heard_at >= UNCONFIRMED_FOR_S

    @property
    def heard_at(self) -> float:
        """When a replica was heard last."""
        return self._heard_at

    @property
    def covered_at(self) -> float:
        """The newest moment up to which everything accepted is known here, for sure.

        It is counted from the question, so whatever an answer waited for on its way makes it older.
        """
        return self._covered_at

    def knows_all_until(self, moment: float) -> bool:
        """Tell whether everything that was accepted before a moment is known here."""
        return self._covered_at >= moment

    @property
    def changes(self) -> int:
        """Grows whenever an upstream, a mark, an item or an evacuation has changed here."""
        return self._changes

    @property
    def serving(self) -> tuple[str, ...]:
        """The gateways that take callers, as any fresh replica says, by name."""
        return self._serving

    @property
    def peers(self) -> dict[str, str]:
        """Where the serving gateways are reached by other processes, by name."""
        return self._peers

    @property
    def fellows(self) -> Fellows:
        """The gateways that a sum over all of them is divided among."""
        return self._fellows

    def serving_count(self, now: float) -> int:
        """Return the largest number of serving gateways that was known lately, at least one.

        Sums over all gateways are divided by it: a replica that has just started may not have
        heard all of them yet.
        """
        counts = self._counts
        while len(counts) > 1 and counts[1][0] <= now - COUNT_HELD_S:
            counts.popleft()
        return max([1, *(count for _, count in counts)])

    @property
    def demand(self) -> list[RegionDemand]:
        """The regions' demand, from the fresh replica that hears most gateways."""
        words = [word for word in self._fresh() if word.demand]
        if not words:
            return []
        return max(words, key=lambda word: (len(word.roster.serving), word.demand_at)).demand

    def roster_version(self, life: str) -> int:
        """Return which roster of a replica process is known; 0 for none."""
        word = self._words.get(life)
        return word.roster.version if word else 0

    def is_silent(self, life: str) -> bool:
        """Tell whether all fresh replicas say that a life's heartbeats have stopped."""
        return life in self._silent

    def evacuation_changed_at(self, zone: str) -> float:
        """When this gateway learned of the newest word on a zone's evacuation."""
        return self._evacuation_changed_at.get(zone, float("-inf"))

    def learn(self, feed: Feed, now: float, asked_at: float | None = None) -> bool:
        """Take in the answer to a question of `asked_at`; tells whether the state moved on."""
        self._heard_at = now
        self._first_heard_at = min(self._first_heard_at, now)
        self._confirmed = self._confirmed or feed.age <= CONFIRMED_WITHIN_S
        self._is_whole = self._is_whole or not feed.more
        sent_at = now if asked_at is None else asked_at + feed.held
        self._covered_at = max(self._covered_at, sent_at - feed.age)
        self._learn_word(feed, now)
        before = self._steering.evacuated
        moved = self._steering.merge(feed.image)
        for zone in before ^ self._steering.evacuated:
            self._evacuation_changed_at[zone] = now
        for heard in feed.upstreams:
            self._registry.record(heard.registration, now - heard.age)
        self._changes += bool(moved or feed.upstreams)
        return moved

    def forget_silent(self, now: float) -> None:
        """Drop the upstreams that have been silent for long."""
        oldest = now - FORGET_SILENT_AFTER_S
        long_silent = {life for life, since in self._silent_since.items() if since < oldest}
        if not long_silent:
            return
        for heard in self._registry.all():
            if heard.registration.life in long_silent:
                self._registry.remove(heard.registration.instance)

    def _learn_word(self, feed: Feed, now: float) -> None:
        word = self._words.get(feed.life)
        if word is None:
            word = self._words[feed.life] = ReplicaWord(now)
        word.heard_at = now
        if feed.demand is not None:
            word.demand, word.demand_at = feed.demand, now
        if feed.roster is not None and feed.roster.version >= word.roster.version:
            word.roster = feed.roster
            self._learn_replicas(feed.roster, feed.age <= CONFIRMED_WITHIN_S)
        stale = [life for life, w in self._words.items() if w.heard_at < now - REPLICA_FRESH_S]
        for life in stale:
            del self._words[life]
        if feed.roster is not None or stale:
            self._merge_rosters(now)

    def _learn_replicas(self, roster: Roster, confirmed: bool) -> None:
        for replica in roster.replicas:
            self._replicas[replica.name] = replica.address
        if confirmed and roster.replicas:
            current = {replica.name for replica in roster.replicas}
            self._replicas = {n: a for n, a in self._replicas.items() if n in current}

    def _merge_rosters(self, now: float) -> None:
        rosters = [word.roster for word in self._fresh()]
        self._peers = {peer.name: peer.address for roster in rosters for peer in roster.serving}
        regions = {peer.name: peer.region for roster in rosters for peer in roster.serving}
        self._fellows.note(regions, now)
        serving = tuple(sorted(self._peers))
        if serving != self._serving or not self._counts:
            self._serving = serving
            self._counts.append((now, len(serving)))
        silent = [frozenset(roster.silent) for roster in rosters]
        merged = frozenset.intersection(*silent) if silent else frozenset()
        if merged != self._silent:
            self._silent_since = {name: self._silent_since.get(name, now) for name in merged}
            self._silent = merged
            self._changes += 1

    def _fresh(self) -> list[ReplicaWord]:
        return list(self._words.values())
