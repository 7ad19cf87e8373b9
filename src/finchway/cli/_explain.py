"""The timeline of one request, assembled from the log files of several processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from finchway.exceptions import Finding, InputError, NotFoundError

CONTEXT_BEFORE_S = 10.0
CONTEXT_AFTER_S = 2.0
MAX_OTHER_CONTEXT_LINES = 20
# Events that show the state a process based its decisions on, and the age of that state.
CONTEXT_EVENTS = ("belief", "feed", "process")


def explain(request_id: str, paths: list[Path]) -> list[str]:
    """Return the log lines of one request in order, with the state its processes had at the time.

    Text before the first brace of a line is skipped, so that logs with a collector's prefix can be
    read. Raises `NotFoundError` if no file mentions the request, `InputError` for unreadable files.
    """
    lines = _read(paths)
    request_lines = [line for line in lines if line.get("id") == request_id]
    if not request_lines:
        raise NotFoundError(
            f"no log line mentions request {request_id!r}",
            "pass the log files of every gateway; lines may have been dropped: see "
            "finchway_gateway_state{name=log_lines_dropped}",
        )
    first, last = request_lines[0]["t"], request_lines[-1]["t"]
    instances = {line["instance"] for line in request_lines}
    upstreams = {f"upstream/{line['upstream']}" for line in request_lines if "upstream" in line}
    context = [
        line
        for line in lines
        if line.get("event") in CONTEXT_EVENTS
        and line["instance"] in instances
        and first - CONTEXT_BEFORE_S <= line["t"] <= last + CONTEXT_AFTER_S
    ]
    upstream_context = [line for line in context if line.get("subject") in upstreams]
    other_context = [line for line in context if line not in upstream_context][
        -MAX_OTHER_CONTEXT_LINES:
    ]
    timeline = sorted(
        [*request_lines, *upstream_context, *other_context], key=lambda line: line["t"]
    )
    return [_describe(line, first) for line in timeline]


def _read(paths: list[Path]) -> list[dict[str, Any]]:
    findings = []
    lines = []
    for path in paths:
        try:
            data = path.read_bytes()
        except OSError as error:
            findings.append(Finding(str(path), str(error)))
            continue
        lines += [line for raw in data.splitlines() if (line := _decode(raw)) is not None]
    if findings:
        raise InputError(findings, "log files")
    return sorted(lines, key=lambda line: line["t"])


def _decode(raw: bytes) -> dict[str, Any] | None:
    start = raw.find(b"{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(raw[start:])
    except msgspec.DecodeError:
        return None
    is_event = isinstance(line, dict) and "event" in line and "instance" in line
    return line if is_event and isinstance(line.get("t"), float | int) else None


def _describe(line: dict[str, Any], started_at: float) -> str:
    offset = f"{(line['t'] - started_at) * 1000:+9.1f} ms"
    hidden = ("t", "instance", "event", "id")
    fields = " ".join(f"{name}={value}" for name, value in line.items() if name not in hidden)
    return f"{offset}  {line['instance']:<16} {line['event']:<13} {fields}"
