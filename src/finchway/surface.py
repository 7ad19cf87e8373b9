"""What a deployment may replace of finchway's outer side: header names and small calls.

finchway's own names are the defaults. An adapter for another platform subclasses `Surface`; it
translates, and decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from finchway.control import SteeringService
from finchway.gateway import CallerConnection, CallerRequest, GatewayRole, HeaderNames, HttpServer

Seeds = Callable[[], list[str]]


class Surface:
    """The outer side of a process."""

    header_names = HeaderNames()

    def seeds(self) -> list[str]:
        """Return peer addresses of control replicas to begin with; may change over time."""
        return []

    def zones(self) -> dict[str, str]:
        """Return the region of each availability zone; may change over time."""
        return {}

    def reload(self) -> None:
        """Read the settings anew, if they are kept somewhere that changes."""

    def control_servers(self, service: SteeringService) -> list[HttpServer]:
        """Return the servers that a control process runs beside its own."""
        return []

    def gateway_servers(self, role: GatewayRole) -> list[HttpServer]:
        """Return the servers that a gateway runs beside its own."""
        return []


__all__ = ["CallerConnection", "CallerRequest", "HttpServer", "Surface"]
