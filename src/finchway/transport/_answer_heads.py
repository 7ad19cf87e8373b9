"""Checks of the heads of upstreams' answers that the HTTP libraries do not make.

They join a line that begins with a blank to the line before it, so that a framing header can turn
into a part of another one, and pass on statuses and bytes that no answer may have.
"""

from __future__ import annotations

import re

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


class FoldedLineDetector:
    """Looks for lines that begin with a blank or a tab in the heads before and of one answer.

    It is fed the bytes as they arrive and ignores those after the head.
    """

    __slots__ = ("_head", "_is_done")

    def __init__(self) -> None:
        self._head = b""
        self._is_done = False

    def feed(self, data: bytes) -> bool:
        """Take in further bytes; return whether one of the heads has such a line."""
        if self._is_done:
            return False
        self._head += data
        while (end := _HEAD_END.search(self._head)) is not None:
            if _FOLDED_LINE.search(self._head, 0, end.start()) is not None:
                return True
            if _INFORMATIONAL.match(self._head) is None:
                self._is_done = True
                self._head = b""
                return False
            self._head = self._head[end.end() :]
        return False
