"""What a replica passes on of upstreams' limits, from those that heard them to all others."""

from __future__ import annotations

import uuid

from msgspec import Struct

from finchway.pushback._words import LimitWords, NamedLimit

# Seconds after which a word that nobody repeats is not passed on any more: whoever starts then
# hears it from the upstream itself.
FORGOTTEN_AFTER_S = 30.0
# Words in one answer, so that its size is bounded; the next answer goes on with the rest.
MOST_NEWS = 128


class LimitsKnown(Struct, frozen=True, array_like=True):
    """Up to where the news of one book are known."""

    book: str = ""
    order: int = 0


class LimitsHeard(Struct, frozen=True, array_like=True):
    """The news of a book since a question, and up to where they reach."""

    known: LimitsKnown
    words: list[NamedLimit]


class LimitNews:
    """The newest word of each life, numbered in the order in which they became news.

    It is soft state: whoever hears a word repeats it, so a replica that starts anew has it soon.
    """

    def __init__(self) -> None:
        self._book = uuid.uuid4().hex[:12]
        self._words = LimitWords()
        self._orders: dict[str, int] = {}
        self._order = 0

    def learn(self, words: list[NamedLimit], now: float) -> bool:
        """Take in what somebody heard from upstreams; tells whether any of it is news."""
        before = self._order
        for named in words:
            if self._words.learn(named, now) or named.life not in self._orders:
                self._order += 1
                self._orders.pop(named.life, None)
                self._orders[named.life] = self._order
        for life in [name for name in self._orders if self._is_over(name, now)]:
            del self._orders[life]
            self._words.forget(life)
        return self._order != before

    def since(self, known: LimitsKnown, now: float) -> LimitsHeard | None:
        """Return what is newer than what is known, oldest first; None if nothing is."""
        order = known.order if known.book == self._book else 0
        newer = [(number, life) for life, number in self._orders.items() if number > order]
        if not newer:
            return None
        part = newer[:MOST_NEWS]
        reached = part[-1][0] if len(part) < len(newer) else self._order
        words = [
            NamedLimit(life, self._words.rate(life), round(self._words.age(life, now), 3))
            for _, life in part
        ]
        return LimitsHeard(LimitsKnown(self._book, reached), words)

    def _is_over(self, life: str, now: float) -> bool:
        return self._words.age(life, now) > FORGOTTEN_AFTER_S
