"""Output of the command-line tool: tables, or JSON for programs."""

from __future__ import annotations

import time
from typing import Any

import msgspec


class Printer:
    """Prints values as text or as JSON."""

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json

    @property
    def as_json(self) -> bool:
        """Whether output is JSON."""
        return self._as_json

    def value(self, value: Any) -> None:
        """Print a value as indented JSON."""
        print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())

    def line(self, value: Any, text: str) -> None:
        """Print one line: the value as compact JSON, or the text."""
        print(msgspec.json.encode(value).decode() if self._as_json else text, flush=True)

    def table(self, value: Any, headings: list[str], rows: list[list[str]]) -> None:
        """Print a table, or the value as JSON."""
        if self._as_json:
            self.value(value)
            return
        print(table(headings, rows))


def table(headings: list[str], rows: list[list[str]]) -> str:
    """Format rows as a table; each column is as wide as its widest cell."""
    cells = [headings, *rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    lines = ["  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in cells]
    return "\n".join(line.rstrip() for line in lines)


def resource_row(resource: dict[str, Any]) -> list[str]:
    """Return a resource's table row: name, generation, revision, status and spec."""
    return [
        resource["name"],
        str(resource["generation"]),
        str(resource["revision"]),
        status_text(resource.get("status")),
        spec_summary(resource["spec"]),
    ]


def status_text(status: dict[str, Any] | None) -> str:
    """Format the status of a resource, such as `running 40% (reason)`."""
    if not status:
        return "-"
    parts = [status.get("phase", "pending")]
    if status.get("type") == "move":
        parts.append(f"{status.get('percent', 0):g}%")
    if status.get("in_flight"):
        parts.append(f"{status['in_flight']} in flight")
    if status.get("reason"):
        parts.append(f"({status['reason']})")
    return " ".join(parts)


def spec_summary(spec: dict[str, Any], width: int = 70) -> str:
    """Format a spec in one line, truncated to the width."""
    parts = []
    for name, value in spec.items():
        if isinstance(value, list):
            parts.append(f"{name}={len(value)}")
        elif isinstance(value, dict):
            parts.append(f"{name}={{{','.join(value)}}}")
        else:
            parts.append(f"{name}={value}")
    text = " ".join(parts)
    return text if len(text) <= width else text[: width - 3] + "..."


def event_line(event: dict[str, Any]) -> str:
    """Format an event of the timeline in one line."""
    seconds, millis = divmod(event["time_ms"], 1000)
    stamp = time.strftime("%H:%M:%S", time.gmtime(seconds))
    prefix = f"{event['clock']:>8} {stamp}.{millis:03d} {event['instance']:<10}"
    return f"{prefix} {event['kind']:<18} {event['subject']} {event['detail']}".rstrip()
