"""Relays: in a large deployment, heartbeats reach the leader in batches through fellow entries.

Live entries of an availability zone are put in an order by hashing and cut into groups; the first
of each group is its relay. The leader then answers batches, with changes for the first heartbeat
of each, which is the relay's own; the relay adds the changes that its members lack from its own.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from msgspec import Struct

from finchway.exceptions import TransportError
from finchway.membership import Heartbeat, HeartbeatReply
from finchway.policy import rank
from finchway.resources import InstanceState, ResourceStore
from finchway.transport import HeartbeatBatch, HeartbeatBatchReply

GROUP_SIZE = 36
BATCH_DELAY_S = 0.15


def is_relay(store: ResourceStore, instance: str, zone: str, threshold: int) -> bool:
    """Tell whether relays are used and this entry is one."""
    live = [i for i in store.of_kind("instance") if i.spec.state is InstanceState.LIVE]
    known = any(i.name == instance for i in live)
    return known and len(live) > threshold and relay_of(store, instance, zone, threshold) is None


def relay_of(store: ResourceStore, instance: str, zone: str, threshold: int) -> str | None:
    """Return the peer address of an entry's relay; None if it talks to control itself.

    Relays are used only when more than `above` entries are live.
    """
    live = [i for i in store.of_kind("instance") if i.spec.state is InstanceState.LIVE]
    if len(live) <= threshold:
        return None
    peers = {i.name: i.spec.peer for i in live if i.spec.zone == zone}
    order = rank(f"relay/{zone}", peers)
    if instance not in peers:
        return peers[order[0]] if order else None
    relay = order[order.index(instance) // GROUP_SIZE * GROUP_SIZE]
    return None if relay == instance else peers[relay]


class _Pending(Struct, eq=False):
    """A member's heartbeat that waits for its batch."""

    heartbeat: Heartbeat
    event: trio.Event
    reply: HeartbeatReply | None = None


SendBatch = Callable[[HeartbeatBatch], Awaitable[HeartbeatBatchReply | None]]


class HeartbeatBatcher:
    """Gathers the heartbeats of a group and sends them on together."""

    def __init__(self, instance: str, send_batch: SendBatch) -> None:
        self._instance = instance
        self._send_batch = send_batch
        self._pending: list[_Pending] = []
        self._wake = trio.Event()
        self._batches = 0

    @property
    def batches(self) -> int:
        """How many batches have been sent."""
        return self._batches

    async def submit(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Send a member's heartbeat with the next batch; raises `TransportError` if it is lost."""
        pending = _Pending(heartbeat, trio.Event())
        self._pending.append(pending)
        self._wake.set()
        await pending.event.wait()
        if pending.reply is None:
            raise TransportError("control did not answer the batch")
        return pending.reply

    async def run(self) -> None:
        """Send batches until cancelled; each waits a moment for more members."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                await trio.sleep(BATCH_DELAY_S)
                self._wake = trio.Event()
                batch, self._pending = self._pending, []
                if batch:
                    nursery.start_soon(self._send, batch)

    async def _send(self, batch: list[_Pending]) -> None:
        self._batches += 1
        batch.sort(key=lambda pending: pending.heartbeat.instance != self._instance)
        answer = await self._send_batch(HeartbeatBatch(heartbeats=[p.heartbeat for p in batch]))
        replies = answer.replies if answer is not None else [None] * len(batch)
        for pending, reply in zip(batch, replies, strict=True):
            pending.reply = reply
            pending.event.set()
