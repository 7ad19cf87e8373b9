"""The resource API over HTTP, as an ASGI application.

GET    /v1/resources/{kind}[/{name}]      list or read, linearizable
PUT    /v1/resources/{kind}/{name}        {"spec": ..., "expected": 3, "change_id": "..."}
DELETE /v1/resources/{kind}/{name}?expected=3&change_id=...
GET    /v1/watch?since=REVISION&kind=K    one JSON object per line, in revision order, no gaps
GET    /v1/entries                        the revision in force at each entry
GET    /v1/replicas, POST /v1/replicas    the replica set
GET    /v1/events?after=CURSOR            the merged event log of all processes
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import msgspec
import trio
from msgspec import Struct

from finchway._clock import WALL_CLOCK
from finchway._counts import MAX_COUNT, Count
from finchway.control._server import ControlServer
from finchway.control._steering import SteeringService
from finchway.control._steering_api import SteeringApi
from finchway.exceptions import (
    ConflictError,
    DeniedError,
    FinchwayError,
    Finding,
    GoneError,
    InputError,
    NoRoomError,
    NotFoundError,
    OrderExpiredError,
    ResourceError,
    TransportError,
    UnavailableError,
)
from finchway.observe import Metrics, Timeline, merge
from finchway.resources import (
    OPERATOR_KINDS,
    SPECS,
    Role,
    check_name,
    check_sizes,
    parse_spec,
)
from finchway.state import (
    Accepted,
    AnyResult,
    Conflict,
    DeleteResource,
    Missing,
    PutResource,
    Rejected,
    Reused,
)
from finchway.transport import (
    STALLED_AFTER_S,
    CallOrigin,
    EntryQuery,
    Events,
    FetchEvents,
    Link,
    ReplicaStatus,
)
from finchway.transport._http import (
    PROMETHEUS_TEXT,
    BodyTooLargeError,
    Problem,
    Request,
    send,
    send_json,
    send_problem,
    send_start,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
WATCH_HEARTBEAT_S = 2.0
PEER_TIMEOUT_S = 1.0


class _Put(Struct, forbid_unknown_fields=True):
    spec: Any
    expected: Count | None = None
    change_id: str = ""


class _ReplicaChange(Struct, forbid_unknown_fields=True):
    add: str = ""
    remove: str = ""


class ResourceApi:
    """Serves the operator API of one control process."""

    def __init__(
        self,
        server: ControlServer,
        steering: SteeringService,
        link: Link,
        timeline: Timeline,
        metrics: Metrics,
        address: str,
    ) -> None:
        self._server = server
        self._steering = SteeringApi(steering)
        self._orders = steering.orders
        self._link = link
        self._timeline = timeline
        self._metrics = metrics
        self._address = address

    async def __call__(self, scope, receive, respond) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        request = Request(scope, receive)
        try:
            await self._route(request, respond)
        except FinchwayError as error:
            await send_problem(respond, _problem_of(error))
        except BodyTooLargeError:
            detail = f"at most {MAX_BODY_BYTES} bytes"
            await send_problem(respond, Problem("too-large", "body too large", 413, detail))
        except trio.TooSlowError:
            await send_problem(respond, _problem_of(UnavailableError("timed out")))

    async def _route(self, request: Request, respond) -> None:
        parts = [part for part in request.path.split("/") if part]
        match request.method, parts:
            case "GET", ["healthz"]:
                await send_json(respond, {"ok": not self._server.runner.failure})
            case "GET", ["readyz"]:
                await self._ready(respond)
            case "GET", ["metrics"]:
                await self._send_metrics(respond)
            case "GET", ["v1", "resources", kind]:
                await self._authorise(request, Role.READ)
                await self._list(kind, respond)
            case "GET", ["v1", "resources", kind, name]:
                await self._authorise(request, Role.READ)
                await self._get(kind, name, respond)
            case "PUT", ["v1", "resources", kind, name]:
                operator = await self._authorise(request, Role.CHANGE)
                await self._put(request, kind, name, operator, respond)
            case "DELETE", ["v1", "resources", kind, name]:
                operator = await self._authorise(request, Role.CHANGE)
                await self._delete(request, kind, name, operator, respond)
            case "GET", ["v1", "watch"]:
                await self._authorise(request, Role.READ, needs_quorum=False)
                await self._watch(request, respond)
            case "GET", ["v1", "entries"]:
                await self._authorise(request, Role.READ, needs_quorum=False)
                await send_json(respond, await self._server.at_leader(EntryQuery()))
            case "GET", ["v1", "replicas"]:
                await self._authorise(request, Role.READ, needs_quorum=False)
                await self._replicas(respond)
            case "POST", ["v1", "replicas"]:
                await self._authorise(request, Role.CHANGE)
                await self._change_replicas(request, respond)
            case "GET", ["v1", "steering", *parts]:
                await self._authorise(request, Role.READ)
                await send_json(respond, await self._steering.read(parts, request.query))
            case _, ["v1", "steering", *parts]:
                await self._authorise(request, Role.CHANGE)
                body = await request.read(MAX_BODY_BYTES)
                answer = await self._steering.change(request.method, parts, body, request.origin)
                await send_json(respond, answer)
            case "GET", ["v1", "events"]:
                await self._authorise(request, Role.READ, needs_quorum=False)
                await self._events(request, respond)
            case _:
                raise NotFoundError(f"no such path: {request.method} {request.path}")

    async def _authorise(self, request: Request, needed: Role, needs_quorum: bool = True) -> str:
        """Return the name of the operator whose credential the request carries.

        Raises `DeniedError`, or `UnavailableError` without a quorum. With `needs_quorum=False`,
        the credential is checked against this replica's possibly stale state instead.
        """
        try:
            await self._server.confirm()
        except UnavailableError:
            if needs_quorum or self._server.runner.machine.revision == 0:
                raise
        digest = hashlib.sha256(request.bearer.encode()).hexdigest()
        for operator in self._server.runner.machine.store.of_kind("operator"):
            if hmac.compare_digest(operator.spec.credential, digest):
                if needed is Role.CHANGE and operator.spec.role is not Role.CHANGE:
                    raise DeniedError(f"operator {operator.name} may only read")
                return operator.name
        raise DeniedError("missing or unknown operator credential")

    async def _ready(self, respond) -> None:
        runner = self._server.runner
        ready = bool(runner.core.leader) and not runner.failure
        body = {"ready": ready, "leader": runner.core.leader, "failure": runner.failure}
        await send_json(respond, body, 200 if ready else 503)

    async def _send_metrics(self, respond) -> None:
        runner = self._server.runner
        self._metrics.set_state("revision", runner.machine.revision)
        self._metrics.set_state("term", runner.core.term)
        self._metrics.set_state("commit", runner.core.commit)
        self._metrics.set_state("claims", len(runner.machine.claims))
        self._metrics.set_state("link_sent_bytes", self._link.sent_bytes)
        self._metrics.set_state("link_received_bytes", self._link.received_bytes)
        await send(respond, 200, self._metrics.render(), PROMETHEUS_TEXT)

    async def _list(self, kind: str, respond) -> None:
        _check_kind(kind, SPECS)
        machine = self._server.runner.machine
        items = machine.store.of_kind(kind)
        await send_json(respond, {"revision": machine.revision, "items": items})

    async def _get(self, kind: str, name: str, respond) -> None:
        _check_kind(kind, SPECS)
        resource = self._server.runner.machine.store.get(kind, name)
        if resource is None:
            raise NotFoundError(f"no such {kind}: {name!r}")
        await send_json(respond, resource)

    async def _put(self, request: Request, kind: str, name: str, operator: str, respond) -> None:
        _check_kind(kind, OPERATOR_KINDS)
        body = _decode(await request.read(MAX_BODY_BYTES), _Put)
        spec = parse_spec(kind, body.spec)
        findings = check_name(name, "name") + check_sizes(spec, "spec")
        if findings:
            raise ResourceError(findings, kind)
        command = PutResource(
            now_ms=WALL_CLOCK.now_ms(),
            kind=kind,
            name=name,
            spec=msgspec.json.encode(spec),
            expected=body.expected,
            change_id=body.change_id,
            operator=operator,
        )
        await self._change(command, request.origin, respond)

    async def _delete(self, request: Request, kind: str, name: str, operator: str, respond) -> None:
        _check_kind(kind, (*OPERATOR_KINDS, "instance"))
        expected = request.query.get("expected")
        command = DeleteResource(
            now_ms=WALL_CLOCK.now_ms(),
            kind=kind,
            name=name,
            expected=None if expected is None else _parse_count(expected, "expected"),
            change_id=request.query.get("change_id", ""),
            operator=operator,
        )
        await self._change(command, request.origin, respond)

    async def _change(
        self, command: PutResource | DeleteResource, origin: CallOrigin, respond
    ) -> None:
        subject = f"{command.kind}/{command.name}"
        order = "put" if isinstance(command, PutResource) else "delete"
        with self._orders.record(order, subject, origin):
            accepted = _require_accepted(await self._server.submit(command, origin), subject)
        answer = {
            "revision": accepted.revision,
            "generation": accepted.generation,
            "resource": msgspec.Raw(accepted.resource),
        }
        await send_json(respond, answer)

    async def _watch(self, request: Request, respond) -> None:
        revision = _parse_count(request.query.get("since", "0"), "since")
        kind = request.query.get("kind", "")
        if kind:
            _check_kind(kind, SPECS)
        machine = self._server.runner.machine
        machine.history.since(revision)
        await send_start(respond, 200, [(b"content-type", b"application/x-ndjson")])
        try:
            while True:
                revision = await self._send_changes(revision, kind, respond)
                in_force = await self._in_force()
                if in_force is not None:
                    await _send_line(respond, {"in_force": in_force, "revision": revision})
                with trio.move_on_after(WATCH_HEARTBEAT_S):
                    await self._server.runner.wait_revision(revision)
        except GoneError as error:
            await _send_line(respond, {"gone": True, "oldest": error.oldest})
        await respond({"type": "http.response.body", "body": b"", "more_body": False})

    async def _in_force(self) -> int | None:
        """Return the lowest revision in force at any serving entry; None without a leader."""
        try:
            answer = await self._server.at_leader(EntryQuery())
        except UnavailableError:
            return None
        serving = [e.revision for e in answer.entries if e.state not in ("silent", "gone")]
        return min(serving, default=answer.revision)

    async def _send_changes(self, revision: int, kind: str, respond) -> int:
        changes = self._server.runner.machine.history.since(revision)
        for change in changes:
            revision = change.revision
            if kind in ("", change.kind):
                line = {
                    "revision": change.revision,
                    "operation": change.operation,
                    "resource": change.resource(),
                }
                await _send_line(respond, line)
        if not changes:
            await _send_line(respond, {"heartbeat": True, "revision": revision})
        return revision

    async def _replicas(self, respond) -> None:
        members = self._server.runner.core.members
        answers: list[Any] = []
        for member in members.voters + members.learners:
            answers.append(await self._replica_status(member.id, member.address))
        joiners = [j for j in self._server.replicas.joiners if members.find(j.id) is None]
        body = {"members": members, "replicas": answers, "asking": joiners}
        await send_json(respond, body)

    async def _replica_status(self, replica: str, address: str) -> Any:
        if address == self._address:
            return self._server.runner.status()
        try:
            return await self._link.request(address, ReplicaStatus(), PEER_TIMEOUT_S)
        except FinchwayError as error:
            return {"id": replica, "role": "unreachable", "detail": str(error)}

    async def _change_replicas(self, request: Request, respond) -> None:
        change = _decode(await request.read(MAX_BODY_BYTES), _ReplicaChange)
        if bool(change.add) == bool(change.remove):
            raise ResourceError([Finding("body", "give either add or remove")], "replica change")
        order, name = ("admit", change.add) if change.add else ("remove", change.remove)
        with self._orders.record(order, f"replica/{name}", request.origin):
            await self._server.change_replicas(change.add, change.remove, request.origin)
        await self._replicas(respond)

    async def _events(self, request: Request, respond) -> None:
        """Merge the events of all processes; the cursor holds one position per process."""
        positions = _decode_cursor(request.query.get("after", ""))
        store = self._server.runner.machine.store
        peers = {i.spec.peer for i in store.of_kind("instance")}
        peers |= {m.address for m in self._server.runner.core.members.voters}
        peers.discard(self._address)
        streams = {self._address: self._own_events(positions.get(self._address, 0))}
        async with trio.open_nursery() as nursery:
            for peer in sorted(peers):
                nursery.start_soon(self._fetch_events, peer, positions.get(peer, 0), streams)
        after = {**positions, **{peer: events.next for peer, events in streams.items()}}
        unreachable = sorted(peers - streams.keys())
        merged = merge([events.events for events in streams.values()])
        await send_json(respond, {"events": merged, "after": after, "unreachable": unreachable})

    def _own_events(self, since: int) -> Events:
        events = self._timeline.since(since)
        following = events[-1].sequence if events else min(since, self._timeline.last)
        return Events(instance=self._address, events=events, next=following)

    async def _fetch_events(self, peer: str, since: int, streams: dict[str, Events]) -> None:
        try:
            streams[peer] = await self._link.request(peer, FetchEvents(since=since), PEER_TIMEOUT_S)
        except FinchwayError:
            return


def _check_kind(kind: str, known) -> None:
    if kind not in known:
        raise NotFoundError(f"no such kind: {kind!r}; there are {', '.join(known)}")


def _decode(data: bytes, kind: type) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ResourceError([Finding("body", str(error))], "request") from error


def _parse_count(text: str, place: str) -> int:
    """Return the whole number in a query; raises `ResourceError` if it is none, or too large."""
    digits = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_COUNT))
    if not digits or int(text) > MAX_COUNT:
        problem = f"must be a whole number of at most {MAX_COUNT}, not {text[:40]!r}"
        raise ResourceError([Finding(place, problem)], "query")
    return int(text)


def _decode_cursor(text: str) -> dict[str, int]:
    if not text:
        return {}
    try:
        return msgspec.json.decode(text, type=dict[str, Count])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ResourceError([Finding("after", str(error))], "query") from error


def _require_accepted(result: AnyResult, what: str) -> Accepted:
    match result:
        case Accepted():
            return result
        case Conflict(generation=generation, winner=winner):
            raise ConflictError(f"{what} is at generation {generation}", winner)
        case Rejected(findings=findings):
            raise ResourceError([Finding(place, text) for place, text in findings], what)
        case Missing():
            raise NotFoundError(f"no such resource: {what}")
        case Reused():
            raise ConflictError("this change id was used for another change")
    raise FinchwayError(f"unexpected result {type(result).__name__}")


def _problem_of(error: FinchwayError) -> Problem:
    match error:
        case InputError(findings=findings):
            listed = [{"place": f.place, "problem": f.problem, "hint": f.hint} for f in findings]
            return Problem("invalid", "the input has faults", 422, error.message, findings=listed)
        case ConflictError(winner=winner):
            raw = msgspec.Raw(winner) if winner else msgspec.Raw(b"")
            return Problem("conflict", "another change came first", 409, error.message, winner=raw)
        case NotFoundError():
            return Problem("not-found", "not found", 404, error.message)
        case GoneError(oldest=oldest):
            return Problem("gone", "history is compacted", 410, error.message, oldest=oldest)
        case DeniedError():
            status = 401 if "credential" in error.message else 403
            return Problem("denied", "not allowed", status, error.message)
        case OrderExpiredError():
            return Problem(
                "expired",
                "the order came too late",
                503,
                error.message,
                outcome="not-run",
                retry_after_s=1.0,
            )
        case NoRoomError():
            return Problem(
                "busy",
                "too much is being sent",
                503,
                error.message,
                outcome="not-run",
                retry_after_s=STALLED_AFTER_S,
            )
        case UnavailableError() | TransportError():
            return Problem(
                "unavailable",
                "no quorum answered in time",
                503,
                error.message,
                outcome="unknown",
                retry_after_s=1.0,
            )
    return Problem("internal", "internal error", 500, error.message)


async def _send_line(respond, value: Any) -> None:
    body = msgspec.json.encode(value) + b"\n"
    await respond({"type": "http.response.body", "body": body, "more_body": True})
