"""The steering part of the resource API: items, upstreams, evacuations, gateway directory."""

from __future__ import annotations

from typing import Any

import msgspec
import trio
from msgspec import Struct

from finchway._clock import WALL_CLOCK
from finchway._counts import Count
from finchway.catalog import Item, ItemKind, Limits, Route, ServiceSpec
from finchway.control._steering import SteeringService
from finchway.exceptions import Finding, InputError, NotFoundError, ResourceError
from finchway.registry import Registration
from finchway.state import Steering, Suspect
from finchway.transport import CallOrigin

_SPECS = {ItemKind.ROUTE: Route, ItemKind.SERVICE: ServiceSpec, ItemKind.LIMITS: Limits}


class _Draft(Struct, forbid_unknown_fields=True):
    kind: ItemKind
    name: str
    version: int
    spec: Any = None


class _Evacuation(Struct, forbid_unknown_fields=True):
    active: bool


class _Leaving(Struct, forbid_unknown_fields=True):
    born: Count = 0


class UpstreamRow(Struct, frozen=True):
    """An upstream as seen by one replica; `age_s` is the age of its newest heartbeat."""

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    age_s: float


class GatewayRow(Struct, frozen=True):
    """A gateway as seen by one replica, with the steering revision that it applies.

    `cut_off` means that it can connect to no upstream.
    """

    name: str
    address: str
    zone: str
    region: str
    ready: bool
    leaving: bool
    revision: int
    age_s: float
    cut_off: bool


class SuspectRow(Struct, frozen=True):
    """A request suspected of crashing upstreams; `seconds` is the time until that expires."""

    request: str
    state: str
    ends: int
    ended: list[str]
    seconds: float


class SteeringView(Struct, frozen=True):
    """The steering state as seen by one replica."""

    revision: int
    items: list[dict[str, Any]]
    evacuated: list[str]
    upstreams: list[UpstreamRow]
    gateways: list[GatewayRow]
    suspects: list[SuspectRow]


class SteeringApi:
    """Serves the calls below `/v1/steering`, which the caller has authorised."""

    def __init__(self, service: SteeringService) -> None:
        self._service = service

    async def read(self, parts: list[str], query: dict[str, str]) -> Any:
        """Serve a read-only call."""
        match parts:
            case []:
                return await self._view()
            case ["gateways"]:
                caller = [query.get(name, "") for name in ("host", "region", "zone")]
                return {"addresses": self._service.gateways(*caller)}
        raise NotFoundError(f"no such path below /v1/steering: {'/'.join(parts)}")

    async def change(self, method: str, parts: list[str], body: bytes, origin: CallOrigin) -> Any:
        """Serve a call that changes state; it returns once the change is committed."""
        try:
            return await self._change(method, parts, body, origin)
        except InputError as error:
            self._service.record_refused(parts[0] if parts else "", error)
            raise

    async def _change(self, method: str, parts: list[str], body: bytes, origin: CallOrigin) -> Any:
        match method, parts:
            case "POST", ["items"]:
                items = parse_items(_decode(body))
                return {"revision": await self._service.change_items(items, origin)}
            case "POST", ["evacuations", zone]:
                active = _convert(_decode(body), _Evacuation, "body").active
                await self._service.evacuate(zone, active, origin)
                return {"zone": zone, "active": active}
            case "PUT", ["upstreams", instance]:
                document = _decode(body)
                named = (
                    document | {"instance": instance} if isinstance(document, dict) else document
                )
                await self._service.record_heartbeat(_convert(named, Registration, "body"), origin)
                return {"instance": instance}
            case "POST", ["suspects", request, "release"]:
                await self._service.release(request, origin)
                return {"request": request}
            case "DELETE", ["upstreams", instance]:
                born = _convert(_decode(body or b"{}"), _Leaving, "body").born
                await self._service.deregister(instance, born, origin)
                return {"instance": instance}
        raise NotFoundError(f"no such call below /v1/steering: {method} {'/'.join(parts)}")

    async def _view(self) -> SteeringView:
        items = await self._service.read_items()
        control = self._service.control
        steering = control.runner.machine.steering
        now = trio.current_time()
        return SteeringView(
            steering.revision,
            [item_document(item) for item in items],
            sorted(steering.evacuated),
            [
                UpstreamRow(
                    upstream.registration.instance,
                    upstream.registration.service,
                    upstream.registration.address,
                    upstream.registration.zone,
                    upstream.registration.slots,
                    _state(upstream.registration, steering),
                    round(now - upstream.received_at, 3),
                )
                for upstream in control.feed.registry.all()
            ],
            [
                GatewayRow(
                    gateway.heartbeat.name,
                    gateway.heartbeat.address,
                    gateway.heartbeat.zone,
                    gateway.heartbeat.region,
                    gateway.heartbeat.ready,
                    gateway.heartbeat.leaving,
                    gateway.heartbeat.revision,
                    gateway.age,
                    gateway.heartbeat.cut_off,
                )
                for gateway in control.feed.gateways.live(now)
            ],
            [_suspect_row(suspect) for suspect in steering.suspects.all if suspect.is_current],
        )


def item_document(item: Item) -> dict[str, Any]:
    """Return an item in the form that operators write."""
    spec = msgspec.to_builtins(item.spec)
    spec.pop("item", None)
    return {"kind": item.kind.value, "name": item.name, "version": item.version, "spec": spec}


def parse_items(document: Any) -> list[Item]:
    """Parse the items of a document; raises `ResourceError` with all findings.

    parse_items([{"kind": "limits", "name": "limits", "version": 1, "spec": {}}])
    """
    entries = document if isinstance(document, list) else [document]
    findings: list[Finding] = []
    items = []
    for position, entry in enumerate(entries):
        try:
            draft = _convert(entry, _Draft, f"items[{position}]")
            spec = None
            if draft.spec is not None:
                spec = _convert(draft.spec, _SPECS[draft.kind], f"items[{position}].spec")
            items.append(Item(kind=draft.kind, name=draft.name, version=draft.version, spec=spec))
        except ResourceError as error:
            findings += error.findings
    if findings:
        raise ResourceError(findings, "items")
    return items


def _suspect_row(suspect: Suspect) -> SuspectRow:
    seconds = max(0.0, round(suspect.until_ms / 1000 - WALL_CLOCK.now(), 1))
    ended = list(suspect.crashed_upstreams)
    return SuspectRow(suspect.request, suspect.state.value, suspect.crashes, ended, seconds)


def _state(registration: Registration, steering: Steering) -> str:
    mark = steering.mark_of(registration)
    return mark.kind.value if mark else registration.state.value


def _decode(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise ResourceError([Finding("body", str(error))], "body") from error


def _convert(value: Any, kind: type, place: str) -> Any:
    if kind in _SPECS.values() and isinstance(value, dict):
        unknown = sorted(set(value) - set(kind.__struct_fields__))
        if unknown:
            raise ResourceError([Finding(place, f"unknown field {unknown[0]!r}")], "items")
        value = {**value, "item": kind.__struct_config__.tag}
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise ResourceError([Finding(place, str(error))], "items") from error
