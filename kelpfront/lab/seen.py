"""What a checker sees of tasks and attempts, the figures it holds them to, and its verdict. Plain state."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from kelpfront.config import Config

SLACK_MS = 300.0  # between lines of two processes on a busy host
STRAY_MS = 5_000.0  # that a copy which nobody wants may run on while its placer could have it stopped
ANSWERS = ("Placed", "Refused", "Failed")

ONE_ANSWER, NO_EFFECT_TWICE, ONE_ATTEMPT = "one-answer", "no-effect-twice", "one-attempt"
DRAINS, COLD, SPREAD, STRAYS = "drains", "cold-machines", "spread", "strays"
RULES = (ONE_ANSWER, NO_EFFECT_TWICE, ONE_ATTEMPT, DRAINS, COLD, SPREAD, STRAYS)


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What the rules say of one class."""

    effect: str
    group: str = "all"
    window_ms: float = 0.0
    apart: str = "none"
    together: int = 1


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of the rules."""

    classes: dict[str, ClassRule]
    answer_grace_ms: float
    drain_grace_ms: float
    cold_multiple: float
    cold_window_ms: float
    cold_offers: float
    max_attempts: int = 4

    @classmethod
    def of(cls, config: Config) -> Figures:
        rules = config.rules
        return cls(
            {
                name: ClassRule(
                    section.effect,
                    section.group or "all",
                    section.window or 0.0,
                    section.apart,
                    section.together,
                )
                for name, section in config.classes.items()
            },
            rules.answer_grace,
            rules.drain_grace,
            rules.cold_multiple,
            rules.cold_window,
            rules.cold_offers,
        )


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    t: float
    text: str


@dataclass(slots=True)
class Verdict:
    """What came of a day.

    `without_final` are tasks that a placer took and left without an answer though it was not killed;
    `open_at_end` those whose answer was not due when the day was broken off.
    """

    tasks: int = 0
    final: Counter[str] = field(default_factory=lambda: Counter(dict.fromkeys(ANSWERS, 0)))
    without_final: int = 0
    held_when_killed: int = 0
    open_at_end: int = 0
    withdrawn: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    offers: int = 0
    starts: int = 0
    violations: list[Violation] = field(default_factory=list)

    def by_rule(self) -> dict[str, int]:
        counts = Counter(violation.rule for violation in self.violations)
        return {rule: counts[rule] for rule in RULES}


@dataclass(slots=True)
class AttemptSeen:
    """One offer as its machine saw it."""

    number: int
    machine: str
    room: str
    rack: str
    placer: str
    life: str
    cls: str
    service: str
    t: float
    answer: str = ""
    answered_at: float | None = None
    left_at: float | None = None
    down_at: float | None = None
    started_at: float | None = None
    ended_at: float | None = None
    gone_told_at: float | None = None

    @property
    def closed_at(self) -> float | None:
        """When the machine saw it closed: answered, left by its placer, told to be over, or its own end."""
        ends = self.answered_at, self.left_at, self.gone_told_at, self.down_at
        times = [t for t in ends if t is not None]
        return min(times, default=None)

    @property
    def never_ran(self) -> bool:
        return self.answer == "refused" and self.started_at is None

    def place(self, kind: str) -> str:
        return {
            "machine": self.machine,
            "rack": f"{self.room}/{self.rack}",
            "room": self.room,
        }.get(kind, "")


@dataclass(slots=True)
class TaskSeen:
    cls: str
    attempts: list[AttemptSeen] = field(default_factory=list)
    starts: list[AttemptSeen] = field(default_factory=list)
    submitted_at: float | None = None
    patience_ms: float = 0.0
    placer: str = ""
    work: str = ""
    answers: list[tuple[float, str]] = field(default_factory=list)
    withdrawn_at: float | None = None
