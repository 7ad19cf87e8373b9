"""What operators, upstreams and callers ask of steering; any replica takes any call."""

from __future__ import annotations

import time

import trio

from finchway.catalog import Item
from finchway.control._server import ControlServer
from finchway.exceptions import ConflictError, Finding, ResourceError, UnavailableError
from finchway.feed import choose_gateways
from finchway.registry import MarkKind, Registration, UpstreamState
from finchway.state import (
    AnyCommand,
    ChangeItems,
    MarkUpstream,
    Rejected,
    SetEvacuation,
    Steered,
    VersionTaken,
)


class SteeringService:
    """The steering calls of one replica.

    An answer to a change means that a quorum has it on disk.
    """

    def __init__(self, control: ControlServer) -> None:
        self._control = control

    @property
    def control(self) -> ControlServer:
        """The control role that the calls go to."""
        return self._control

    async def change_items(self, items: list[Item]) -> int:
        """Set and drop items as one unit; returns the steering revision that has them.

        Raises `ResourceError` with all findings, or `ConflictError` if a version is taken by
        other content; nothing is in force then. `UnavailableError` leaves it open.
        """
        result = await self._submit(ChangeItems(now_ms=_now_ms(), items=items))
        match result:
            case Rejected(findings=findings):
                raise ResourceError([Finding(place, text) for place, text in findings], "change")
            case VersionTaken(items=taken):
                raise ConflictError(f"held with other content: {', '.join(taken)}")
        return result.revision

    async def read_items(self) -> list[Item]:
        """Return all items that stand, not older than any change accepted before the call."""
        await self._control.confirm()
        return self._control.runner.machine.steering.catalog.standing()

    async def hear(self, registration: Registration) -> None:
        """Take in an upstream's heartbeat; one that says that it leaves is committed first."""
        self._control.feed.hear(registration)
        if registration.state is UpstreamState.DRAINING:
            await self._mark(registration.instance, MarkKind.DRAINING)

    async def deregister(self, instance: str) -> None:
        """Note that an upstream is gone."""
        await self._mark(instance, MarkKind.GONE)

    async def evacuate(self, zone: str, active: bool) -> None:
        """Begin or end the evacuation of a zone."""
        await self._submit(SetEvacuation(now_ms=_now_ms(), zone=zone, active=active))

    def gateways(self, host: str, region: str, zone: str) -> list[str]:
        """Return the gateways' addresses for a caller; raises `UnavailableError` without any."""
        catalog = self._control.runner.machine.steering.catalog
        allowed = frozenset(
            name for route in catalog.routes_of_host(host) for name in route.allowed_regions
        )
        live = self._control.feed.gateways.live(trio.current_time())
        named = choose_gateways([heard.beat for heard in live], region, zone, allowed)
        if not named:
            raise UnavailableError("no gateway is known to be ready")
        return named

    async def _mark(self, instance: str, kind: MarkKind) -> None:
        held = self._control.runner.machine.steering.marks.get(instance)
        if held is not None and (held.kind is kind or held.kind is MarkKind.GONE):
            return
        await self._submit(MarkUpstream(now_ms=_now_ms(), instance=instance, kind=kind))

    async def _submit(self, command: AnyCommand) -> Steered | Rejected | VersionTaken:
        return await self._control.submit(command)


def _now_ms() -> int:
    return int(time.time() * 1000)
