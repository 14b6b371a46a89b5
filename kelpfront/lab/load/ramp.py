"""The search for the highest rate that is kept: which to try next, and whether one was. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

GROWTH = 1.6  # from a rate that was kept to the next, until one is not
LATE_SHARE = 0.01  # of arrivals sent later than LATE_MS: then it was the load tool that did not keep up
LATE_MS = 50.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a rate came to. Latencies are from the time at which work was due to be sent."""

    rate: float
    sent: int
    answered: int
    turned_away: int
    without_final: int
    p99_ms: float
    aim_ms: float
    sent_late: int

    @property
    def tool_behind(self) -> bool:
        """The tool did not send in time: the run says nothing of the placer."""
        return self.sent_late > LATE_SHARE * max(1, self.sent)

    @property
    def why_not(self) -> str:
        """What keeps the rate from being kept; "" where it was."""
        if self.tool_behind:
            return f"the load tool fell behind: {self.sent_late} of {self.sent} sent late"
        if self.without_final:
            return f"{self.without_final} without their answer"
        if self.turned_away:
            return f"{self.turned_away} turned away"
        if self.p99_ms > self.aim_ms:
            return f"p99 {self.p99_ms:.0f} ms is over the aim of {self.aim_ms:.0f} ms"
        return ""


class Ramp:
    """Rates grow until one is not kept, then the range is halved until it is `exact` wide.

    A rate that fails once is tried a second time before it counts: hosts have bad seconds. One that fails
    because the tool fell behind ends the search, with that said.
    """

    def __init__(self, first: float, most: float, exact: float = 0.05) -> None:
        if not 0 < first <= most:
            raise ValueError(f"rate: {first:g} is not over 0 and at most {most:g}, where the ramp ends")
        self._next, self._most, self._exact = first, most, exact
        self.kept = 0.0  # the highest so far
        self.not_kept: float | None = None  # the lowest so far
        self.tool_limit: float | None = None  # where the tool itself fell behind
        self._failed_once = False
        self.outcomes: list[Outcome] = []

    @property
    def done(self) -> bool:
        if self.tool_limit is not None or (self.kept >= self._most):
            return True
        if self.not_kept is None:
            return False
        return self.not_kept - self.kept <= self._exact * self.not_kept

    @property
    def rate(self) -> float:
        """The one to try now."""
        return self._next

    def take(self, outcome: Outcome) -> None:
        self.outcomes.append(outcome)
        if outcome.tool_behind and not self._failed_once:
            self._failed_once = True
            return
        if outcome.tool_behind:
            self.tool_limit = outcome.rate
            return
        if outcome.why_not and not self._failed_once:
            self._failed_once = True
            return
        self._failed_once = False
        if outcome.why_not:
            self.not_kept = outcome.rate if self.not_kept is None else min(self.not_kept, outcome.rate)
        else:
            self.kept = max(self.kept, outcome.rate)
        if self.not_kept is None:
            self._next = min(self._most, self.kept * GROWTH)
        else:
            self._next = (self.kept + self.not_kept) / 2.0

    def summary(self) -> dict[str, object]:
        return {
            "kept": round(self.kept, 1),
            "not_kept": None if self.not_kept is None else round(self.not_kept, 1),
            "tool_fell_behind_at": None if self.tool_limit is None else round(self.tool_limit, 1),
            "tried": [
                {"rate": round(one.rate, 1), "p99_ms": round(one.p99_ms, 1), "why_not": one.why_not}
                for one in self.outcomes
            ],
        }
