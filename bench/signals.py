"""What a process does with a signal at the moment, as the kernel tells it."""

from __future__ import annotations

from pathlib import Path


def ignores(pid: int, number: int) -> bool:
    """Tell whether a process ignores a signal."""
    return _has(pid, "SigIgn", number)


def catches(pid: int, number: int) -> bool:
    """Tell whether a process has a handler of its own for a signal."""
    return _has(pid, "SigCgt", number)


def _has(pid: int, mask: str, number: int) -> bool:
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(f"{mask}:"))
    return bool(int(line.split()[1], 16) >> (number - 1) & 1)
