"""The control role: answers peers and runs the leader's background tasks.

Calls that need the leader raise `NotLeaderError` with its address on other replicas; `at_leader`
forwards them, so any replica can serve any request.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from finchway._clock import WALL_CLOCK
from finchway.control._feed import FeedServer
from finchway.control._leader_calls import FORWARD_TIMEOUT_S, LeaderCalls
from finchway.control._replica import ReplicaRunner
from finchway.control._replica_set import ReplicaSetPlanner, with_expected, without_name
from finchway.exceptions import ConflictError, FinchwayError, NotLeaderError, UnavailableError
from finchway.feed import ReportedRequests, ShareHeartbeats, Subscribe
from finchway.membership import (
    Coordinator,
    Heartbeat,
    HeartbeatReply,
    LeaseTiming,
    PlatformList,
    changes_since,
)
from finchway.observe import EventKind, Timeline
from finchway.policy import LoanTiming
from finchway.resources import DrainStatus, InstanceState, MoveStatus, Resource
from finchway.state import AnyCommand, AnyResult, ReportRequests
from finchway.transport import (
    AnyBody,
    CallOrigin,
    ChangeReplicas,
    Changes,
    Confirm,
    Confirmed,
    Entries,
    EntryInfo,
    EntryQuery,
    FetchChanges,
    HeartbeatBatch,
    HeartbeatBatchReply,
    Join,
    JoinReply,
    Link,
    Ok,
    RaftBody,
    ReplicaStatus,
    Submit,
    Submitted,
)

_LOG = logging.getLogger(__name__)
CONFIRM_INTERVAL_S = 0.1
CONFIRMATION_VALID_S = 0.5
# Interval and timeout of a follower's checks that it has caught up with the leader. Both must stay
# well below the time allowed for a change to be in force everywhere (2 s or more).
CATCH_UP_INTERVAL_S = 0.2
CATCH_UP_TIMEOUT_S = 1.0
PLAN_INTERVAL_S = 0.1
FORMATION_TIMEOUT_S = 8.0
PLATFORM_INTERVAL_S = 0.5

PlatformSource = Callable[[], Awaitable[PlatformList]]


class ControlServer:
    """The control role of one process."""

    def __init__(
        self,
        runner: ReplicaRunner,
        link: Link,
        timeline: Timeline,
        lease: LeaseTiming,
        loans: LoanTiming,
        platform: PlatformSource | None,
        auto_join_voters: int = 0,
        upstream_heartbeat: float = 1.5,
    ) -> None:
        self._runner = runner
        self._link = link
        self._timeline = timeline
        self._lease = lease
        self._loans = loans
        self._platform = platform
        self._coordinator: Coordinator | None = None
        self._auto_join_voters = auto_join_voters
        self._started_at = trio.current_time()
        self._replicas = ReplicaSetPlanner(auto_join_voters)
        self._feed = FeedServer(runner, link, upstream_heartbeat)
        self._seen_revision = -1
        self._leader = LeaderCalls(runner, link, self.handle)

    @property
    def runner(self) -> ReplicaRunner:
        """The replica of this process."""
        return self._runner

    @property
    def feed(self) -> FeedServer:
        """The feed to gateways."""
        return self._feed

    @property
    def replicas(self) -> ReplicaSetPlanner:
        """The planner of the replica set."""
        return self._replicas

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runner.run)
            nursery.start_soon(self._confirm_forever)
            nursery.start_soon(self._catch_up_forever)
            nursery.start_soon(self._plan_forever)
            nursery.start_soon(self._watch_changes)
            nursery.start_soon(self._feed.run)
            if self._platform is not None:
                nursery.start_soon(self._poll_platform, self._platform)

    async def handle(self, body: AnyBody, sender: str) -> AnyBody | None:
        """Handle one message of a peer and return the reply, if it has one."""
        match body:
            case RaftBody(message=message, address=address):
                self._runner.receive(message, address)
                return None
            case Subscribe():
                return await self._feed.answer(body)
            case ShareHeartbeats():
                self._feed.record_shared_heartbeats(body)
                return None
            case ReportedRequests(reports=reports):
                now_ms = WALL_CLOCK.now_ms()
                await self.at_leader(Submit(command=ReportRequests(now_ms=now_ms, reports=reports)))
                return Ok()
            case Heartbeat():
                return self._on_heartbeat(body)
            case HeartbeatBatch(heartbeats=heartbeats):
                replies = [
                    self._on_heartbeat(heartbeat, with_changes=index == 0)
                    for index, heartbeat in enumerate(heartbeats)
                ]
                return HeartbeatBatchReply(replies=replies)
            case Submit(command=command, validity=validity):
                self._require_formed()
                return Submitted(result=await self._runner.submit(command, validity))
            case Confirm(within=within):
                return await self._confirm_here(within)
            case FetchChanges(since=since):
                changes, snapshot = changes_since(self._runner.machine, since)
                revision = self._runner.machine.revision
                return Changes(revision=revision, changes=changes, snapshot=snapshot)
            case Join(member=member):
                if member.incarnation:
                    self._record_join(body)
                return JoinReply(cluster=self._runner.cluster)
            case ChangeReplicas(add=add, remove=remove, validity=validity):
                self._runner.require_valid(validity)
                return self._change_replicas(add, remove)
            case ReplicaStatus():
                return self._runner.status()
            case EntryQuery():
                return self._entries()
        raise FinchwayError(f"a control process does not take {type(body).__name__}")

    # Called by the API on any replica

    async def submit(self, command: AnyCommand, origin: CallOrigin) -> AnyResult:
        """Commit a caller's order through the current leader.

        Raises `OrderExpiredError` if it is too old, or if its caller has left; then it has no
        effect. Raises `UnavailableError` if the outcome is unknown.
        """
        reply = await self._leader.order(Submit(command=command), origin)
        return reply.result

    async def change_replicas(self, add: str, remove: str, origin: CallOrigin) -> None:
        """Admit a further replica, or remove one, by name; raises as `submit` does."""
        await self._leader.order(ChangeReplicas(add=add, remove=remove), origin)

    async def confirm(self, within: float = 0.0) -> int:
        """Wait until this replica has applied every change accepted before the call.

        With `within`, changes of the last `within` seconds before the call may be missing.
        """
        requested_at = trio.current_time()
        confirmed = await self._leader.confirm(within)
        with trio.move_on_after(FORWARD_TIMEOUT_S):
            await self._runner.wait_applied(confirmed.index)
            self._runner.advance_current_as_of(requested_at - confirmed.age)
            return self._runner.machine.revision
        raise UnavailableError("this replica is too far behind")

    async def at_leader(self, body: AnyBody) -> AnyBody:
        """Return the leader's reply to a message, forwarding it if this replica does not lead.

        Raises `UnavailableError` if no leader answers within a few seconds.
        """
        return await self._leader.request(body)

    async def _confirm_here(self, within: float) -> Confirmed:
        """Reuse the leader's newest confirmation if it is recent enough, else get a new one."""
        runner = self._runner
        age = trio.current_time() - runner.confirmed_at
        if runner.is_leader and age <= within:
            return self._confirmed(runner.confirmed_index, age)
        return self._confirmed(await runner.confirm(), 0.0)

    def _confirmed(self, index: int, age: float) -> Confirmed:
        if not self._runner.is_leader:
            raise NotLeaderError(self._runner.leader_address())
        return Confirmed(
            revision=self._runner.machine.revision,
            index=index,
            age=age,
            term=self._runner.core.term,
            clock=trio.current_time(),
        )

    def _on_heartbeat(self, heartbeat: Heartbeat, with_changes: bool = True) -> HeartbeatReply:
        coordinator = self._confirmed_coordinator()
        return coordinator.handle_heartbeat(heartbeat, trio.current_time(), with_changes)

    def _confirmed_coordinator(self) -> Coordinator:
        """Return the coordinator; raises unless a quorum has confirmed this leader recently."""
        now = trio.current_time()
        if not self._runner.is_leader or self._coordinator is None:
            raise NotLeaderError(self._runner.leader_address())
        if now - self._runner.confirmed_at > CONFIRMATION_VALID_S:
            raise UnavailableError("the leader is not confirmed by a quorum at the moment")
        return self._coordinator

    def _require_formed(self) -> None:
        """Reject commands while the replica set forms, up to a timeout.

        A smaller set tolerates fewer failures than the deployment was planned for.
        """
        age = trio.current_time() - self._started_at
        if (
            age < FORMATION_TIMEOUT_S
            and len(self._runner.core.members.voters) < self._auto_join_voters
        ):
            raise UnavailableError("the replica set is still forming")

    def _record_join(self, join: Join) -> None:
        leader = self._runner.leader_address()
        if self._runner.is_leader:
            self._replicas.record_join(join.member)
        elif leader is not None:
            self._link.post(leader, join)

    def _change_replicas(self, add: str, remove: str) -> Ok:
        if not self._runner.is_leader:
            raise NotLeaderError(self._runner.leader_address())
        members = self._runner.core.members
        names = {m.name for m in members.voters}
        if remove and remove not in names | set(members.expected):
            raise ConflictError(f"no replica is named {remove!r}; there are {sorted(names)}")
        if remove and names == {remove}:
            raise ConflictError("the last replica cannot be removed")
        changed = without_name(members, remove) if remove else with_expected(members, add)
        if changed != members:
            self._runner.change_members(changed)
        return Ok()

    def _entries(self) -> Entries:
        coordinator = self._confirmed_coordinator()
        now = trio.current_time()
        infos = []
        for instance in self._runner.machine.store.of_kind("instance"):
            known = coordinator.registry.get(instance.name)
            state = instance.spec.state
            if coordinator.registry.is_silent(instance.name, now):
                state = InstanceState.SILENT
            heartbeat = known.heartbeat if known else None
            infos.append(
                EntryInfo(
                    instance.name,
                    state.value,
                    heartbeat.revision if heartbeat else 0,
                    instance.spec.peer,
                    heartbeat.in_flight if heartbeat else 0,
                )
            )
        return Entries(revision=self._runner.machine.revision, entries=infos)

    # Background tasks

    async def _confirm_forever(self) -> None:
        while True:
            if self._runner.is_leader:
                try:
                    await self._runner.confirm(timeout=CONFIRMATION_VALID_S)
                except UnavailableError:
                    _LOG.debug("no quorum confirmed this leader")
            await trio.sleep(CONFIRM_INTERVAL_S)

    async def _catch_up_forever(self) -> None:
        """Confirm a follower's state regularly, so that gateways know how stale it may be.

        The leader's state is confirmed by `_confirm_forever`.
        """
        while True:
            if not self._runner.is_leader:
                with trio.move_on_after(CATCH_UP_TIMEOUT_S):
                    try:
                        await self.confirm(within=CONFIRMATION_VALID_S)
                    except FinchwayError as error:
                        _LOG.debug("cannot catch up with the leader: %s", error)
            await trio.sleep(CATCH_UP_INTERVAL_S)

    async def _plan_forever(self) -> None:
        while True:
            await trio.sleep(PLAN_INTERVAL_S)
            if not self._runner.is_leader:
                self._coordinator = None
                continue
            try:
                await self._plan_once()
            except UnavailableError as error:
                _LOG.info("planning postponed: %s", error)

    async def _plan_once(self) -> None:
        if self._coordinator is None:
            await self._runner.confirm()
            self._coordinator = Coordinator(
                self._runner.machine, trio.current_time(), self._lease, self._loans
            )
        self._confirmed_coordinator()
        members = self._replicas.next_members(self._runner.core)
        if members is not None:
            try:
                self._runner.change_members(members)
            except ConflictError as error:
                _LOG.debug("replica set change postponed: %s", error)
        for command in self._coordinator.plan(trio.current_time(), WALL_CLOCK.now_ms()):
            await self._runner.submit(command)

    async def _poll_platform(self, source: PlatformSource) -> None:
        while True:
            if self._coordinator is not None:
                try:
                    listing = await source()
                    if self._coordinator is not None:
                        self._coordinator.platform.record(listing)
                except FinchwayError as error:
                    _LOG.info("cannot fetch the platform's instance list: %s", error)
            await trio.sleep(PLATFORM_INTERVAL_S)

    # Events

    async def _watch_changes(self) -> None:
        """Record accepted changes as events, on the leader only, so that each appears once."""
        while True:
            await self._runner.wait_revision(max(self._seen_revision, 0))
            since = self._seen_revision
            self._seen_revision = self._runner.machine.revision
            if not self._runner.is_leader or since < 0:
                continue
            changes, _ = changes_since(self._runner.machine, since)
            for change in changes:
                self._record(change.resource(), change.operation.value, change.revision)

    def _record(self, resource: Resource, operation: str, revision: int) -> None:
        subject = f"{resource.kind}/{resource.name}"
        match resource.status:
            case DrainStatus(phase=phase, reason=reason):
                self._timeline.record(
                    EventKind.DRAIN_CHANGED, subject, f"{phase.value} {reason}".strip()
                )
                return
            case MoveStatus(phase=phase, percent=percent, reason=reason):
                detail = f"{phase.value} at {percent:g}% {reason}".strip()
                self._timeline.record(EventKind.MOVE_CHANGED, subject, detail)
                return
        match resource.kind:
            case "instance":
                self._timeline.record(
                    EventKind.INSTANCE_CHANGED, subject, f"{operation} {resource.spec.state.value}"
                )
            case "share":
                state = "settled" if resource.spec.previous is None else "shrinking"
                detail = f"epoch {resource.spec.epoch} {state}"
                self._timeline.record(EventKind.SHARE_CHANGED, subject, detail)
            case _:
                detail = f"{operation} generation {resource.generation} revision {revision}"
                self._timeline.record(EventKind.RESOURCE_ACCEPTED, subject, detail)
