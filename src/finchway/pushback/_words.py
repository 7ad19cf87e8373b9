"""The newest word of each upstream on how many requests it takes, from answers and from others."""

from __future__ import annotations

from msgspec import Struct

# Lives of which the newest word is remembered; beyond them the one that was heard first is
# forgotten.
MOST_LIMITS = 4_096
# Seconds for which a word that an answer brought is passed on: whoever goes on sending hears it
# anew with each answer, and so long do others take to hear of it even on full links.
TOLD_FOR_S = 10.0
# Words in one message, so that its size is bounded; those that were told last wait their turn.
MOST_TOLD = 16


class NamedLimit(Struct, frozen=True, array_like=True):
    """What a life of an upstream said that it takes, `age` seconds before this was sent.

    `rate` are requests a second from all together, None if it names no limit any more.
    """

    life: str
    rate: float | None
    age: float


class _Word:
    """The newest word of one life: when it was said, and whether it was said to this process."""

    __slots__ = ("is_own", "rate", "said_at", "told_at")

    def __init__(self, rate: float | None, said_at: float, is_own: bool) -> None:
        self.rate = rate
        self.said_at = said_at
        self.is_own = is_own
        self.told_at = float("-inf")


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
        """Return the seconds since a life's newest word was said; infinite if there is none."""
        word = self._words.get(life)
        return now - word.said_at if word is not None else float("inf")

    def limited(self) -> list[str]:
        """Return the lives that name a limit."""
        return [life for life, word in self._words.items() if word.rate is not None]

    def hear(self, life: str, rate: float | None, sent_at: float, now: float) -> bool:
        """Take in what an answer to a request of `sent_at` names; tells whether it is news."""
        word = self._words.get(life)
        if word is None:
            if rate is None:
                return False
            self._add(life, rate, now, is_own=True)
            return True
        if sent_at < word.said_at and _rises(word.rate, rate):
            # Answers overtake each other, so only what was sent since may lift what was named.
            return False
        word.is_own = True
        return self._renew(word, rate, now)

    def learn(self, named: NamedLimit, now: float) -> bool:
        """Take in what somebody else has heard, if it is newer; tells whether it is news.

        What this process has heard itself stays its own, and is not made newer by what others
        repeat of it: its age would shrink with each of their messages.
        """
        said_at = now - max(0.0, named.age)
        word = self._words.get(named.life)
        if word is None:
            self._add(named.life, named.rate, said_at, is_own=False)
            return named.rate is not None
        if said_at <= word.said_at or (word.is_own and word.rate == named.rate):
            return False
        word.is_own = False
        return self._renew(word, named.rate, said_at)

    def pass_on(self, earlier: str, later: str) -> None:
        """Have a later life be held to what an earlier one named."""
        word = self._words.get(earlier)
        if word is not None and word.rate is not None:
            self._add(later, word.rate, word.said_at, is_own=False)

    def forget(self, life: str) -> None:
        """Drop what a life has said."""
        self._words.pop(life, None)

    def told(self, now: float) -> list[NamedLimit]:
        """Return what answers have said here lately, for others; what is new comes first."""
        own = [
            (word.told_at, life)
            for life, word in self._words.items()
            if word.is_own and now - word.said_at <= TOLD_FOR_S
        ]
        told = []
        for _, life in sorted(own)[:MOST_TOLD]:
            word = self._words[life]
            word.told_at = now
            told.append(NamedLimit(life, word.rate, round(now - word.said_at, 3)))
        return told

    def _add(self, life: str, rate: float | None, said_at: float, is_own: bool) -> None:
        if len(self._words) >= MOST_LIMITS:
            del self._words[next(iter(self._words))]
        self._words[life] = _Word(rate, said_at, is_own)

    def _renew(self, word: _Word, rate: float | None, said_at: float) -> bool:
        is_news = word.rate != rate
        word.rate = rate
        word.said_at = max(word.said_at, said_at)
        if is_news:
            word.told_at = float("-inf")
        return is_news


def _rises(held: float | None, rate: float | None) -> bool:
    """Tell whether a figure allows more than the one held."""
    if held is None:
        return False
    return rate is None or rate > held
