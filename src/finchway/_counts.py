"""The range of whole numbers that finchway takes from outside."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

# The largest integer that every JSON parser represents exactly.
MAX_COUNT = 2**53 - 1
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
