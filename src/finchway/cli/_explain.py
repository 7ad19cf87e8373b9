"""The story of one request, from the log files of several processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from finchway.exceptions import Finding, InputError, NotFoundError

BEFORE_S = 10.0
AFTER_S = 2.0
BELIEFS_SHOWN = 20
# Events that show what a process knew, and how new that was, when it decided.
CONTEXT = ("belief", "feed", "process")


def explain(request_id: str, paths: list[Path]) -> list[str]:
    """Return the lines of one request in order, with the beliefs that its processes then held.

    Text before the first brace of a line is passed over, so that collected logs can be read too.
    Raises `NotFoundError` if no file tells of the request, `InputError` for unreadable files.
    """
    lines = _read(paths)
    own = [line for line in lines if line.get("id") == request_id]
    if not own:
        raise NotFoundError(
            f"no line tells of request {request_id!r}",
            "give the files of every gateway; a line may have been dropped: see "
            "finchway_gateway_state{name=log_lines_dropped}",
        )
    first, last = own[0]["t"], own[-1]["t"]
    instances = {line["instance"] for line in own}
    upstreams = {f"upstream/{line['upstream']}" for line in own if "upstream" in line}
    beliefs = [
        line
        for line in lines
        if line.get("event") in CONTEXT
        and line["instance"] in instances
        and first - BEFORE_S <= line["t"] <= last + AFTER_S
    ]
    about = [line for line in beliefs if line.get("subject") in upstreams]
    others = [line for line in beliefs if line not in about][-BELIEFS_SHOWN:]
    story = sorted([*own, *about, *others], key=lambda line: line["t"])
    return [_describe(line, first) for line in story]


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
    known = isinstance(line, dict) and "event" in line and "instance" in line
    return line if known and isinstance(line.get("t"), float | int) else None


def _describe(line: dict[str, Any], first: float) -> str:
    offset = f"{(line['t'] - first) * 1000:+9.1f} ms"
    hidden = ("t", "instance", "event", "id")
    facts = " ".join(f"{name}={value}" for name, value in line.items() if name not in hidden)
    return f"{offset}  {line['instance']:<16} {line['event']:<13} {facts}"
