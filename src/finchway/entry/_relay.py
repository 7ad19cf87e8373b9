"""Heartbeat relays: in large deployments, entries send heartbeats to the leader in batches.

The live entries of an availability zone are ordered by rendezvous hashing and split into groups;
the first entry of each group is its relay. The leader's reply to a batch has changes only for the
first heartbeat, which is the relay's; the relay adds those that the other members lack.
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
    """Return whether relays are in use and this entry is one."""
    live = [i for i in store.of_kind("instance") if i.spec.state is InstanceState.LIVE]
    known = any(i.name == instance for i in live)
    return known and len(live) > threshold and relay_of(store, instance, zone, threshold) is None


def relay_of(store: ResourceStore, instance: str, zone: str, threshold: int) -> str | None:
    """Return the peer address of an entry's relay; None if it contacts control directly.

    Relays are used only if more than `threshold` entries are live.
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
    """A group member's heartbeat that is waiting for the reply to its batch."""

    heartbeat: Heartbeat
    event: trio.Event
    reply: HeartbeatReply | None = None


SendBatch = Callable[[HeartbeatBatch], Awaitable[HeartbeatBatchReply | None]]


class HeartbeatBatcher:
    """Collects the heartbeats of a group and sends them in batches."""

    def __init__(self, instance: str, send_batch: SendBatch) -> None:
        self._instance = instance
        self._send_batch = send_batch
        self._pending: list[_Pending] = []
        self._wake = trio.Event()
        self._batches = 0

    @property
    def batches(self) -> int:
        """The number of batches sent."""
        return self._batches

    async def submit(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Send a heartbeat in the next batch; raise `TransportError` if there is no reply."""
        pending = _Pending(heartbeat, trio.Event())
        self._pending.append(pending)
        self._wake.set()
        await pending.event.wait()
        if pending.reply is None:
            raise TransportError("control did not reply to the heartbeat batch")
        return pending.reply

    async def run(self) -> None:
        """Send batches until cancelled; each is delayed to collect more heartbeats."""
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
        response = await self._send_batch(HeartbeatBatch(heartbeats=[p.heartbeat for p in batch]))
        replies = response.replies if response is not None else [None] * len(batch)
        for pending, reply in zip(batch, replies, strict=True):
            pending.reply = reply
            pending.event.set()
