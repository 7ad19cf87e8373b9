"""What a gateway believes: the newest of what any replica told it."""

from __future__ import annotations

from finchway.feed._book import GatewayBook
from finchway.feed._messages import Feed, GatewayBeat
from finchway.registry import Registry
from finchway.state import Steering

FORGET_UPSTREAM_AFTER_S = 30.0
GATEWAY_SILENT_AFTER_S = 3.0
UNCONFIRMED_FOR_S = 3.0


class World:
    """The steering state, upstreams and fellow gateways as a gateway knows them."""

    def __init__(self) -> None:
        self._steering = Steering()
        self._registry = Registry(FORGET_UPSTREAM_AFTER_S)
        self._gateways = GatewayBook(GATEWAY_SILENT_AFTER_S)
        self._replicas: dict[str, str] = {}
        self._heard_at = float("-inf")
        self._first_heard_at = float("inf")
        self._confirmed = False
        self._changed_at: dict[str, float] = {}

    @property
    def steering(self) -> Steering:
        """The committed state as far as it is known here."""
        return self._steering

    @property
    def registry(self) -> Registry:
        """The upstreams' heartbeats."""
        return self._registry

    @property
    def replicas(self) -> dict[str, str]:
        """The addresses of the replicas by name."""
        return self._replicas

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is known that a quorum stood behind a moment ago.

        A replica that was cut off may know an old one only; it has to do after a few seconds in
        which no other was heard.
        """
        if self._steering.catalog.is_empty:
            return False
        return self._confirmed or self._heard_at - self._first_heard_at >= UNCONFIRMED_FOR_S

    @property
    def heard_at(self) -> float:
        """When a replica was heard last."""
        return self._heard_at

    def evacuation_changed_at(self, zone: str) -> float:
        """When this gateway learned of the newest word on a zone's evacuation."""
        return self._changed_at.get(zone, float("-inf"))

    def gateways(self, now: float) -> list[GatewayBeat]:
        """Return the gateways that were heard lately, by name."""
        return [heard.beat for heard in self._gateways.live(now)]

    def learn(self, feed: Feed, now: float) -> bool:
        """Take in a feed; tells whether the committed state moved on."""
        self._heard_at = now
        self._first_heard_at = min(self._first_heard_at, now)
        self._confirmed = self._confirmed or feed.confirmed
        for replica in feed.replicas:
            self._replicas[replica.name] = replica.address
        if feed.confirmed and feed.replicas:
            current = {replica.name for replica in feed.replicas}
            self._replicas = {n: a for n, a in self._replicas.items() if n in current}
        before = self._steering.evacuated
        moved = self._steering.merge(feed.image)
        for zone in before ^ self._steering.evacuated:
            self._changed_at[zone] = now
        for heard in feed.upstreams:
            self._registry.record(heard.registration, now - heard.age)
        for heard in feed.gateways:
            self._gateways.record(heard.beat, now - heard.age)
        return moved
