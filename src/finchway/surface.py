"""Extension point for a deployment's own interfaces: header names, discovery and HTTP servers.

An adapter for another platform subclasses `Surface`. It only translates between the platform's
interfaces and finchway's; policy stays in finchway.
"""

from __future__ import annotations

from collections.abc import Callable

from finchway.control import SteeringService
from finchway.gateway import CallerConnection, CallerRequest, GatewayRole, HeaderNames, HttpServer
from finchway.transport import ClientBudget

Seeds = Callable[[], list[str]]


class Surface:
    """The external interfaces of a process; the defaults are finchway's own."""

    header_names = HeaderNames()

    def seeds(self) -> list[str]:
        """Return seed peer addresses of control replicas; may change over time."""
        return []

    def zones(self) -> dict[str, str]:
        """Map availability zones to their regions; may change over time."""
        return {}

    def reload(self) -> None:
        """Reload settings that can change at run time."""

    def control_servers(self, service: SteeringService, budget: ClientBudget) -> list[HttpServer]:
        """Return additional HTTP servers for a control process, which draw on its budget."""
        return []

    def gateway_servers(self, role: GatewayRole, budget: ClientBudget) -> list[HttpServer]:
        """Return additional HTTP servers for a gateway, which draw on its budget."""
        return []


__all__ = ["CallerConnection", "CallerRequest", "HttpServer", "Surface"]
