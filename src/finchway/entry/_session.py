"""An entry's session with control: sends heartbeats, receives configuration, lease and loans.

Heartbeats go to the leader. If no control process responds, they are sent through a peer entry
that still reaches the leader. If no peer does, the entry fetches newer changes from its peers
without a confirmation. An entry that reaches neither control nor any peer is isolated and refuses
requests, because it cannot learn of drains, caps or claims.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import msgspec
import trio
from msgspec import Struct

from finchway.entry._relay import BATCH_DELAY_S, HeartbeatBatcher, is_relay, relay_of
from finchway.entry._view import EntryView
from finchway.exceptions import FinchwayError, NotLeaderError
from finchway.membership import Heartbeat, HeartbeatReply, LeaseTiming, RateReport, full_state
from finchway.observe import EventKind, Timeline
from finchway.pushback import LimitLogPosition
from finchway.resources import Change
from finchway.state import AnyCommand, AnyResult
from finchway.transport import AnyBody, Changes, FetchChanges, HeartbeatBatch, Link, Submit

_LOG = logging.getLogger(__name__)
REQUEST_TIMEOUT_S = 0.6
MAX_PEERS_TRIED = 2
RELAY_TIMEOUT_S = 0.5
MAX_RECENT_CHANGES = 2_000
REPLY_FRESH_S = 1.0
RELAY_ABOVE = 32
RELAY_RETRY_DELAY_S = 2.0
RELAYED_HEARTBEAT_TIMEOUT_S = RELAY_TIMEOUT_S + 2 * BATCH_DELAY_S


class EntryIdentity(Struct, frozen=True):
    """An entry's name, incarnation, addresses and availability zone."""

    instance: str
    incarnation: str
    address: str
    peer: str
    zone: str

    @property
    def holder(self) -> str:
        """The identity under which this incarnation claims keys and borrows slots."""
        return f"{self.instance}@{self.incarnation}"


class ControlSession:
    """Exchanges heartbeats and changes between one entry and control."""

    def __init__(
        self,
        identity: EntryIdentity,
        view: EntryView,
        link: Link,
        control_peers: list[str],
        timing: LeaseTiming,
        timeline: Timeline,
        rng: random.Random,
        isolated_after: float,
        in_flight: Callable[[], int],
        relay_above: int = RELAY_ABOVE,
    ) -> None:
        self._identity = identity
        self._view = view
        self._link = link
        self._control_peers = list(control_peers)
        self._control_address = self._control_peers[0]
        self._timing = timing
        self._timeline = timeline
        self._rng = rng
        self._isolated_after = isolated_after
        self._in_flight = in_flight
        self._relay_above = relay_above
        self._relay_retry_at = float("-inf")
        self._batcher = HeartbeatBatcher(identity.instance, self._send_to_control)
        self._sequence = 0
        self._loans_applied = 0
        self._limits_known = LimitLogPosition()
        self._lease_until = float("-inf")
        self._last_contact_at = float("-inf")
        self._last_direct_reply_at = float("-inf")
        self._last_reply_at = float("-inf")
        self._is_confirmed = False
        self._had_lease = False
        self._is_leaving = False
        self._was_cut_off = False
        self._recent_changes: list[Change] = []

    @property
    def is_confirmed(self) -> bool:
        """Whether a configuration confirmed by a quorum has been applied since the start."""
        return self._is_confirmed

    @property
    def has_lease(self) -> bool:
        """Whether this entry holds a lease: the leader has recently confirmed its revision."""
        return trio.current_time() < self._lease_until

    @property
    def is_leader_reachable(self) -> bool:
        """Whether the leader responded recently, so that changes and limits still arrive."""
        return trio.current_time() - self._last_reply_at < REPLY_FRESH_S

    @property
    def is_isolated(self) -> bool:
        """Whether neither control nor any peer has responded within the isolation timeout."""
        if self._isolated_after <= 0 or self.has_lease or not self._view.live_peers():
            return False
        return trio.current_time() - self._last_contact_at > self._isolated_after

    @property
    def is_leaving(self) -> bool:
        """Whether this entry is shutting down gracefully."""
        return self._is_leaving

    def start_leaving(self) -> None:
        """Report this entry as leaving in all further heartbeats."""
        self._is_leaving = True

    async def run(self) -> None:
        """Send heartbeats, and relay those of group members, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._batcher.run)
            await self._send_heartbeats()

    async def _send_heartbeats(self) -> None:
        while True:
            started = trio.current_time()
            await self.send_heartbeat()
            self._record_lease_change()
            left = self._timing.interval - (trio.current_time() - started)
            await trio.sleep(max(0.01, left))

    async def send_heartbeat(self, stopped: bool = False) -> bool:
        """Send one heartbeat and apply the reply; return False if there was none."""
        heartbeat = self._heartbeat(stopped)
        sent_at = trio.current_time()
        reply = None if stopped else await self._send_via_relay(heartbeat)
        if reply is None:
            reply = await self._send_to_control(heartbeat)
            if reply is not None:
                self._last_direct_reply_at = trio.current_time()
        if reply is None and not stopped:
            reply = await self._send_via_peers(heartbeat)
        if reply is None:
            return False
        self._apply_reply(reply, sent_at)
        return True

    async def submit(self, command: AnyCommand, timeout: float) -> AnyResult:
        """Submit a command to the leader; raise `FinchwayError` if it is not committed in time."""
        deadline = trio.current_time() + timeout
        while True:
            left = deadline - trio.current_time()
            try:
                reply = await self._link.request(
                    self._control_address, Submit(command=command), left
                )
                return reply.result
            except NotLeaderError as error:
                self._redirect(error)
                if trio.current_time() + 0.02 >= deadline:
                    raise
                await trio.sleep(0.02)

    async def handle(self, body: AnyBody, sender: str) -> AnyBody | None:
        """Handle a peer entry's message: relay its heartbeat, or return changes that it lacks."""
        match body:
            case Heartbeat() if self._can_relay():
                return self._add_changes(body, await self._batcher.submit(body))
            case FetchChanges(since=since):
                return self._changes_since(since)
        raise FinchwayError(f"this entry cannot handle {type(body).__name__} now")

    def _can_relay(self) -> bool:
        """Return whether control recently replied to this entry directly."""
        return trio.current_time() - self._last_direct_reply_at < 2 * self._timing.interval + 0.5

    def _heartbeat(self, stopped: bool) -> Heartbeat:
        now = trio.current_time()
        view = self._view
        self._sequence += 1
        return Heartbeat(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            address=self._identity.address,
            peer=self._identity.peer,
            zone=self._identity.zone,
            sequence=self._sequence,
            revision=view.revision,
            leaving=self._is_leaving,
            stopped=stopped,
            in_flight=self._in_flight(),
            loans_applied=self._loans_applied,
            demands=view.gate.demands(view.share_keys()),
            shrunk=view.shrunk(now),
            drains=view.drain_reports(),
            loads=view.loads(now),
            marks=view.leaving_marks(),
            rates=[RateReport(o, s, rate) for o, s, rate in view.active_rates(now)],
            limits=view.directory.limits.reports_to_send(now),
            limits_known=self._limits_known,
            cut_off=self._is_cut_off(now),
        )

    def _is_cut_off(self, now: float) -> bool:
        """Return whether this entry reaches no upstream, and log when that changes."""
        is_cut_off = self._view.is_cut_off(now)
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            state = "out of reach from here" if is_cut_off else "in reach"
            silent_s = now - self._view.reach.silent_since
            _LOG.warning("upstreams: %s; last sign of any %.1f s ago", state, silent_s)
        return is_cut_off

    async def _send_via_relay(self, heartbeat: Heartbeat) -> HeartbeatReply | None:
        """Send a heartbeat through this entry's relay; None if there is none or it has failed."""
        if trio.current_time() < self._relay_retry_at:
            return None
        identity = self._identity
        relay = relay_of(self._view.store, identity.instance, identity.zone, self._relay_above)
        if relay is None:
            return await self._send_as_relay(heartbeat)
        try:
            return await self._link.request(relay, heartbeat, RELAYED_HEARTBEAT_TIMEOUT_S)
        except FinchwayError as error:
            _LOG.debug("relay at %s: %s", relay, error)
            self._relay_retry_at = trio.current_time() + RELAY_RETRY_DELAY_S
            return None

    async def _send_as_relay(self, heartbeat: Heartbeat) -> HeartbeatReply | None:
        """Send this entry's heartbeat in its group's batch, if it is a relay."""
        identity = self._identity
        if not is_relay(self._view.store, identity.instance, identity.zone, self._relay_above):
            return None
        try:
            reply = await self._batcher.submit(heartbeat)
        except FinchwayError:
            return None
        self._last_direct_reply_at = trio.current_time()
        return reply

    def _add_changes(self, heartbeat: Heartbeat, reply: HeartbeatReply) -> HeartbeatReply:
        """Add the changes that a group member lacks to the leader's reply."""
        missing = self._changes_since(heartbeat.revision)
        return msgspec.structs.replace(
            reply,
            changes=missing.changes,
            snapshot=missing.snapshot,
            snapshot_revision=missing.revision,
        )

    async def _send_to_control(self, body: Heartbeat | HeartbeatBatch) -> AnyBody | None:
        for _ in range(2):
            try:
                return await self._link.request(self._control_address, body, REQUEST_TIMEOUT_S)
            except NotLeaderError as error:
                if not self._redirect(error):
                    return None
            except FinchwayError as error:
                _LOG.debug("control at %s: %s", self._control_address, error)
                self._switch_control()
                return None
        return None

    def _redirect(self, error: NotLeaderError) -> bool:
        if error.leader:
            self._control_address = error.leader
            return True
        self._switch_control()
        return False

    def _switch_control(self) -> None:
        others = [peer for peer in self._control_peers if peer != self._control_address]
        self._control_address = self._rng.choice(others) if others else self._control_peers[0]

    async def _send_via_peers(self, heartbeat: Heartbeat) -> HeartbeatReply | None:
        peers = sorted(self._view.live_peers().values())
        for peer in self._rng.sample(peers, min(MAX_PEERS_TRIED, len(peers))):
            try:
                return await self._link.request(peer, heartbeat, RELAY_TIMEOUT_S)
            except FinchwayError:
                await self._fetch_changes(peer)
        return None

    async def _fetch_changes(self, peer: str) -> None:
        """Apply newer changes of a peer; they do not renew the lease."""
        try:
            request = FetchChanges(since=self._view.revision)
            reply = await self._link.request(peer, request, RELAY_TIMEOUT_S)
        except FinchwayError:
            return
        self._last_contact_at = trio.current_time()
        if reply.snapshot is not None:
            self._install_snapshot(reply.snapshot, reply.revision)
        else:
            self._apply_changes(reply.changes)

    def _apply_reply(self, reply: HeartbeatReply, sent_at: float) -> None:
        self._last_contact_at = self._last_reply_at = trio.current_time()
        if reply.snapshot is not None:
            self._install_snapshot(reply.snapshot, reply.snapshot_revision)
        else:
            self._apply_changes(reply.changes)
        if reply.limits is not None:
            self._view.directory.merge_limits(reply.limits.reports, self._last_contact_at)
            self._limits_known = reply.limits.position
        if self._view.revision < reply.revision:
            return
        self._lease_until = max(self._lease_until, sent_at + reply.lease_s)
        self._is_confirmed = True
        if reply.sequence == self._sequence:
            self._view.holder.set_loans(reply.loans, sent_at)
            self._loans_applied = reply.sequence
            self._view.set_rates(reply.rates)

    def _install_snapshot(self, state: list[Change], revision: int) -> None:
        if self._view.install(state, revision, trio.current_time()):
            self._recent_changes = []
            self._record_revision()

    def _apply_changes(self, changes: list[Change]) -> None:
        previous = self._view.revision
        if self._view.apply(changes, trio.current_time()):
            self._recent_changes += [change for change in changes if change.revision > previous]
            del self._recent_changes[:-MAX_RECENT_CHANGES]
            self._record_revision()

    def _record_revision(self) -> None:
        self._timeline.record(EventKind.REVISION_APPLIED, f"revision {self._view.revision}")

    def _changes_since(self, since: int) -> Changes:
        view = self._view
        if since >= view.revision:
            return Changes(revision=view.revision)
        if self._recent_changes and self._recent_changes[0].revision <= since + 1:
            changes = [change for change in self._recent_changes if change.revision > since]
            return Changes(revision=view.revision, changes=changes)
        return Changes(revision=view.revision, snapshot=full_state(view.store))

    def _record_lease_change(self) -> None:
        if self.has_lease == self._had_lease:
            return
        self._had_lease = self.has_lease
        kind = EventKind.LEASE_REGAINED if self._had_lease else EventKind.LEASE_LOST
        self._timeline.record(kind, self._identity.instance)
