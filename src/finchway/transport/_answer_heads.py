"""Checks of the heads of upstreams' answers that the HTTP libraries do not make.

They join a line that begins with a blank to the line before it, so that a framing header can turn
into a part of another one, and pass on statuses and bytes that no answer may have.
"""

from __future__ import annotations

import re

# Informational heads before an answer: one a second in the longest time that a route may allow.
MAX_INFORMATIONAL_HEADS = 600
_HEAD_END = re.compile(rb"\n\r?\n")
_FOLDED_LINE = re.compile(rb"\n[ \t]")
_INFORMATIONAL = re.compile(rb"HTTP/\d\.\d 1")
# Control characters other than the tab.
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_VERSIONS = frozenset({b"1.0", b"1.1"})
_MIN_STATUS = 100
_MAX_STATUS = 599


def find_fault(
    version: bytes, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
) -> str:
    """Return what is wrong with an answer's head; empty if nothing is.

    find_fault(b"1.1", 999, b"OK", [])  # "status 999"
    """
    if version not in _VERSIONS:
        return f"version {version.decode('latin-1')}"
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        return f"status {status:03}"
    if _CONTROL.search(reason):
        return "a control character in the reason"
    names = set()
    for name, value in headers:
        names.add(name.lower())
        if _CONTROL.search(value):
            return "a control character in a header"
    if b"transfer-encoding" in names and (version == b"1.0" or b"content-length" in names):
        return "two framings"
    return ""


class HeadScanner:
    """Looks for faults of the informational heads before an answer, and of its own head.

    These are lines that begin with a blank or a tab, and too many heads. It is fed the bytes as
    they arrive and ignores those after the head.
    """

    __slots__ = ("_head", "_informational", "_is_done")

    def __init__(self) -> None:
        self._head = b""
        self._informational = 0
        self._is_done = False

    def feed(self, data: bytes) -> str:
        """Take in further bytes; return what is wrong with the heads, empty if nothing is."""
        if self._is_done:
            return ""
        self._head += data
        while (end := _HEAD_END.search(self._head)) is not None:
            if _FOLDED_LINE.search(self._head, 0, end.start()) is not None:
                return "a line begins with a blank"
            if _INFORMATIONAL.match(self._head) is None:
                self._is_done = True
                self._head = b""
                return ""
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL_HEADS:
                return "informational heads do not end"
            self._head = self._head[end.end() :]
        return ""
