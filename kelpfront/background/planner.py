"""Which piece of background work runs next, and when: priorities, budgets, nothing left out for ever. No I/O.

Work comes in pieces that are short against a tick. Each piece is paid from two token buckets, of CPU
milliseconds and of bytes, after it has run and at what it cost: a piece that was dearer than thought leaves a
debt, and nothing runs until it is paid. Under foreground load buckets fill more slowly, never at less than
LEAST_SHARE of their rate.

Of what is due the dearest priority comes first; what has waited past its deadline comes before all, in the
order in which the deadlines passed. So each piece runs at the latest its deadline and one turn of all others
late, as fast as the least share pays for them (`latest_ms`).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

LEAST_SHARE = 0.1  # of the budget that is left to background work under full load: it must end some time
JITTER = 0.1  # of a period, either way: placers that started together must not compact together


@dataclass(frozen=True, slots=True)
class Chore:
    """One kind of work. Times in milliseconds; `most_cpu_ms` and `most_bytes` bound one piece."""

    name: str
    priority: int  # the lower goes first
    every_ms: float
    deadline_ms: float  # past being due: then it goes before all others
    most_cpu_ms: float
    most_bytes: float = 0.0

    def __post_init__(self) -> None:
        for name in ("every_ms", "most_cpu_ms"):
            if not 0.0 < getattr(self, name) < math.inf:
                raise ValueError(f"{self.name}: {name}: {getattr(self, name)!r} is not a number over 0")
        for name in ("deadline_ms", "most_bytes"):
            if not 0.0 <= getattr(self, name) < math.inf:
                raise ValueError(f"{self.name}: {name}: {getattr(self, name)!r} is not a number of 0 or more")


@dataclass(frozen=True, slots=True)
class Budget:
    """A second's worth of CPU milliseconds and of bytes; as much may be saved up."""

    cpu_ms: float
    bytes: float

    def __post_init__(self) -> None:
        for name in ("cpu_ms", "bytes"):
            if not 0.0 < getattr(self, name) < math.inf:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not a number over 0")


class Bucket:
    """Tokens that come in at a rate, at most a second's worth; may be in debt."""

    def __init__(self, a_second: float, at: float) -> None:
        self._rate = a_second / 1000.0
        self._most = a_second
        self.tokens = a_second
        self._at = at

    def fill(self, now: float, share: float) -> None:
        """`share` of the rate came in since the last call."""
        passed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self.tokens = min(self._most, self.tokens + passed * self._rate * share)

    def take(self, amount: float) -> None:
        self.tokens -= amount

    def ready_in(self, share: float) -> float:
        """Milliseconds until there is something in it."""
        return 0.0 if self.tokens > 0.0 else -self.tokens / (self._rate * share) + 1e-6


@dataclass(slots=True)
class _State:
    chore: Chore
    due_at: float
    running: bool = False
    runs: int = 0
    cpu_ms: float = 0.0
    bytes: float = 0.0
    latest_ms: float = 0.0  # how late it ever began


class Planner:
    """Call `choose` when `next_at` has come, run the piece that it names, then call `done`. One at a time."""

    def __init__(self, chores: Iterable[Chore], budget: Budget, seed: int, now: float) -> None:
        self._chance = random.Random(seed)
        self._cpu, self._bytes = Bucket(budget.cpu_ms, now), Bucket(budget.bytes, now)
        self._budget = budget
        self._load = 0.0
        self._states: dict[str, _State] = {}
        for chore in chores:
            if chore.name in self._states:
                raise ValueError(f"{chore.name}: is there twice")
            # The first come spread over their period.
            self._states[chore.name] = _State(chore, now + chore.every_ms * self._chance.random())

    @property
    def _share(self) -> float:
        return max(LEAST_SHARE, 1.0 - self._load)

    def _fill(self, now: float) -> None:
        self._cpu.fill(now, self._share)
        self._bytes.fill(now, self._share)

    def load(self, now: float, busy: float) -> None:
        """Share of its time that the placer spends on its owners' work; background work gives way to it."""
        self._fill(now)
        self._load = min(1.0, max(0.0, busy))

    def hurry(self, now: float, name: str) -> None:
        """A piece is wanted now, such as a snapshot before a stop; it still keeps to the budget."""
        self._states[name].due_at = min(self._states[name].due_at, now)

    def choose(self, now: float) -> str | None:
        """The piece that runs now; None while nothing is due, the budget is spent, or one still runs."""
        self._fill(now)
        if self._cpu.tokens <= 0.0 or self._bytes.tokens <= 0.0:
            return None
        if any(state.running for state in self._states.values()):
            return None
        due = [state for state in self._states.values() if state.due_at <= now]
        if not due:
            return None
        late = [state for state in due if state.due_at + state.chore.deadline_ms <= now]
        if late:
            chosen = min(late, key=lambda s: (s.due_at + s.chore.deadline_ms, s.chore.name))
        else:
            chosen = min(due, key=lambda s: (s.chore.priority, s.due_at, s.chore.name))
        chosen.running = True
        chosen.latest_ms = max(chosen.latest_ms, now - chosen.due_at)
        return chosen.chore.name

    def done(self, now: float, name: str, cpu_ms: float, bytes_: float = 0.0, *, more: bool = False) -> None:
        """What the piece cost. `more`: it is not at its end, and its next piece is due at once."""
        state = self._states[name]
        if not state.running:
            raise ValueError(f"{name}: does not run")
        self._fill(now)
        self._cpu.take(cpu_ms)
        self._bytes.take(bytes_)
        state.running = False
        state.runs += 1
        state.cpu_ms += cpu_ms
        state.bytes += bytes_
        jitter = 1.0 + JITTER * (2.0 * self._chance.random() - 1.0)
        state.due_at = now if more else now + state.chore.every_ms * jitter

    def cancelled(self, now: float, name: str) -> None:
        """The piece was broken off before it did anything: due again at once, and not paid."""
        state = self._states[name]
        state.running = False
        state.due_at = min(state.due_at, now)

    def next_at(self, now: float) -> float:
        """When `choose` may have something, if load stays; infinity while one runs."""
        if any(state.running for state in self._states.values()) or not self._states:
            return math.inf
        self._fill(now)
        paid = now + max(self._cpu.ready_in(self._share), self._bytes.ready_in(self._share))
        return max(paid, min(state.due_at for state in self._states.values()))

    def latest_ms(self, name: str) -> float:
        """The bound on how late a chore begins, while no piece costs more than its most."""
        own = self._states[name].chore
        others = [state.chore for state in self._states.values() if state.chore.name != name]
        cpu = sum(chore.most_cpu_ms for chore in (own, *others)) / (self._budget.cpu_ms * LEAST_SHARE)
        bytes_ = sum(chore.most_bytes for chore in (own, *others)) / (self._budget.bytes * LEAST_SHARE)
        return own.deadline_ms + 2.0 * 1000.0 * (cpu + bytes_)

    def explain(self, now: float) -> list[dict[str, float | int | str]]:
        """A row for each chore, as operators read it."""
        return [
            {
                "name": name,
                "priority": state.chore.priority,
                "state": "running" if state.running else "due" if state.due_at <= now else "waiting",
                "due_in_ms": round(state.due_at - now, 3),
                "runs": state.runs,
                "cpu_ms": round(state.cpu_ms, 3),
                "bytes": round(state.bytes),
                "latest_ms": round(state.latest_ms, 3),
            }
            for name, state in sorted(self._states.items())
        ]
