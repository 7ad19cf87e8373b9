"""The newest word of each upstream on how many requests it takes."""

from __future__ import annotations

# Lives of which the newest word is remembered; beyond them the one that was heard first is
# forgotten.
MOST_LIMITS = 4_096


class _Word:
    """The newest word of one life: the requests a second that it takes, and when it was heard."""

    __slots__ = ("heard_at", "rate")

    def __init__(self, rate: float | None, now: float) -> None:
        self.rate = rate
        self.heard_at = now


class LimitWords:
    """What upstreams have named, by the name of their life; also that they name none any more.

    words = LimitWords()
    words.hear("i-1", 7.2, sent_at=0.0, now=0.1)  # True: it is news
    words.rate("i-1")  # 7.2
    """

    def __init__(self) -> None:
        self._words: dict[str, _Word] = {}

    def rate(self, life: str) -> float | None:
        """Return what a life takes a second; None if it names no limit."""
        word = self._words.get(life)
        return word.rate if word is not None else None

    def age(self, life: str, now: float) -> float:
        """Return the seconds since a life's newest word was heard; infinite if there is none."""
        word = self._words.get(life)
        return now - word.heard_at if word is not None else float("inf")

    def limited(self) -> list[str]:
        """Return the lives that name a limit."""
        return [life for life, word in self._words.items() if word.rate is not None]

    def hear(self, life: str, rate: float | None, sent_at: float, now: float) -> bool:
        """Take in what an answer to a request of `sent_at` names; tells whether it is news."""
        word = self._words.get(life)
        if word is None:
            if rate is None:
                return False
            self._add(life, rate, now)
            return True
        if sent_at < word.heard_at and _rises(word.rate, rate):
            # Answers overtake each other, so only what was sent since may lift what was named.
            return False
        is_news = word.rate != rate
        word.rate = rate
        word.heard_at = now
        return is_news

    def _add(self, life: str, rate: float | None, heard_at: float) -> None:
        if len(self._words) >= MOST_LIMITS:
            del self._words[next(iter(self._words))]
        self._words[life] = _Word(rate, heard_at)


def _rises(held: float | None, rate: float | None) -> bool:
    """Tell whether a figure allows more than the one held."""
    if held is None:
        return False
    return rate is None or rate > held
