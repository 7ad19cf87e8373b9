"""Which lives of upstreams have said in an answer that they leave."""

from __future__ import annotations

# Lives that are remembered; beyond them the one that said so first is forgotten, long after it has
# ended.
MOST_LEAVING = 4_096


class LeavingLives:
    """The lives that want nothing new, whatever else says that they are ready.

    The word binds for as long as the life lasts, also where no replica can be reached and where
    its heartbeats go on as before.
    """

    def __init__(self) -> None:
        self._lives: dict[str, None] = {}

    def __contains__(self, life: str) -> bool:
        return life in self._lives

    def add(self, life: str) -> bool:
        """Take in that a life leaves; True if it is news."""
        if life in self._lives:
            return False
        if len(self._lives) >= MOST_LEAVING:
            del self._lives[next(iter(self._lives))]
        self._lives[life] = None
        return True
