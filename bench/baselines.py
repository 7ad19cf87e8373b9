"""The simple ways that each decision is measured against; none of them is part of the product."""

from __future__ import annotations

from finchway.policy import Directory, Holder, RetryBudget
from finchway.resources import Share


class RoundRobinDirectory(Directory):
    """Takes upstreams in turn, whatever their load."""

    def choose(self, limits, now):
        """Pick the next upstream that has a slot."""
        usable = [a for a in sorted(limits) if self._free_slots(a, limits[a], now) > 0]
        if not usable:
            return None
        self._turn = getattr(self, "_turn", 0) + 1
        return usable[self._turn % len(usable)]


class RandomDirectory(Directory):
    """Takes any upstream that has a slot."""

    def choose(self, limits, now):
        """Pick at random."""
        usable = [a for a in sorted(limits) if self._free_slots(a, limits[a], now) > 0]
        return self._rng.choice(usable) if usable else None


class ReportedLoadDirectory(Directory):
    """Two random choices by own counts and reported load, which counts less the older it is."""

    def _score(self, address, limit, now):
        state = self._states[address]
        own = state.in_flight / max(1, limit)
        if state.report is None:
            return own + 0.5
        trust = 0.5 ** (max(0.0, now - state.report.at) / 0.2)
        return own + trust * state.report.load + (1 - trust) * 0.5


class LocalLimitsHolder(Holder):
    """Each entry takes all slots for its own: limits without any sharing."""

    def set_shares(self, shares: list[Share], longest: dict[str, float]) -> None:
        """Own every slot of every share."""
        self._floors = {
            (share.service, share.region): dict(share.current.slots) for share in shares
        }
        self._limits = {}

    def fits(self, key, in_flight, now) -> bool:
        """Never wait for others."""
        return True


class NoLoansHolder(Holder):
    """Uses its floors alone."""

    def set_loans(self, loans, sent_at) -> None:
        """Take no loan."""


class EndlessBudget(RetryBudget):
    """Retries whenever something fails."""

    def spend(self) -> bool:
        """Always allow a retry."""
        return True
