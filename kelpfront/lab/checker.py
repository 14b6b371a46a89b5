"""Judges a recorded day by the five rules, from what went over the sockets alone.

It reads lines that machines and clients wrote (`recording`), and the figures of the rules. It shares no code
with the placer's decisions and never sees a placer's state. Where the order of two events is judged that two
processes wrote, it allows for the time that a busy process may take to write its line (`SLACK_MS`).
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from kelpfront.config import Config
from kelpfront.lab.recording import Line
from kelpfront.machine.warmup import Warmup

SLACK_MS = 300.0  # between lines of two processes on a busy host
ANSWERS = ("Placed", "Refused", "Failed")

ONE_ANSWER, NO_EFFECT_TWICE, ONE_ATTEMPT = "one-answer", "no-effect-twice", "one-attempt"
DRAINS, COLD, SPREAD = "drains", "cold-machines", "spread"
RULES = (ONE_ANSWER, NO_EFFECT_TWICE, ONE_ATTEMPT, DRAINS, COLD, SPREAD)


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
class _Attempt:
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
        """When the machine saw it closed: answered, left by its placer, or its own end."""
        times = [t for t in (self.answered_at, self.left_at, self.down_at) if t is not None]
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
class _Task:
    cls: str
    attempts: list[_Attempt] = field(default_factory=list)
    starts: list[_Attempt] = field(default_factory=list)
    submitted_at: float | None = None
    patience_ms: float = 0.0
    placer: str = ""
    work: str = ""
    answers: list[tuple[float, str]] = field(default_factory=list)
    withdrawn_at: float | None = None


class Checker:
    """Takes the lines of one day, in the order of their times; `judge` then gives the verdict."""

    def __init__(self, figures: Figures, slack_ms: float = SLACK_MS) -> None:
        self._figures, self._slack = figures, slack_ms
        self._tasks: dict[str, _Task] = {}
        self._on: dict[str, dict[tuple[str, int], _Attempt]] = defaultdict(dict)  # machine: its offers
        self._boots: dict[str, list[Line]] = defaultdict(list)
        self._offers_of: dict[str, list[float]] = defaultdict(list)
        self._kills: dict[str, list[float]] = defaultdict(list)
        self._stalls: dict[str, list[tuple[float, float]]] = defaultdict(list)  # from, until
        self._cuts: dict[tuple[str, str], list[list[float]]] = defaultdict(list)  # one way: from, until
        self._sent: dict[tuple[str, int], float] = {}  # offers: when they went out, where that was seen
        self._draining: dict[tuple[str, str], float] = {}  # placer, machine: since when it was told
        self._drained_by_owner: dict[tuple[str, str], float] = {}
        self._there: dict[tuple[str, str, str], list[_Attempt]] = defaultdict(list)  # placer, service, place
        self._over_at = float("inf")  # when the day was broken off
        self._verdict = Verdict()

    def take(self, lines: Iterable[Line]) -> None:
        for line in lines:
            handler = getattr(self, "_" + line["ev"].replace("-", "_"), None)
            if handler is not None:
                handler(line)

    def _break(self, rule: str, t: float, text: str) -> None:
        self._verdict.violations.append(Violation(rule, t, text))

    # ---- Machines' lines ------------------------------------------------------------------------------

    def _boot(self, line: Line) -> None:
        self._boots[line["machine"]].append(line)

    def _down(self, line: Line) -> None:
        for attempt in self._on[line["machine"]].values():
            attempt.down_at = line["t"] if attempt.down_at is None else attempt.down_at
            if attempt.started_at is not None and attempt.ended_at is None:
                attempt.ended_at = line["t"]
        self._on[line["machine"]] = {}

    def _agent_killed(self, line: Line) -> None:
        """Its connections break, and with them the offers that it has not answered; its tasks run on."""
        for attempt in self._on[line["machine"]].values():
            if attempt.answered_at is None and attempt.left_at is None:
                attempt.left_at = line["t"]

    def _fell(self, line: Line) -> None:
        text = f"{line['machine']} fell over: {line['offers']} offers in a window, it bears {line['bears']}"
        self._break(COLD, line["t"], text)

    def _told(self, line: Line) -> None:
        key = line["placer"], line["machine"]
        if line["state"] == "draining":
            self._draining.setdefault(key, line["t"])
        else:
            self._draining.pop(key, None)

    def _offer(self, line: Line) -> None:
        uid, number = line["task"], line["attempt"]
        self._verdict.offers += 1
        task = self._tasks.setdefault(uid, _Task(line["cls"]))
        attempt = _Attempt(
            number,
            line["machine"],
            line["room"],
            line["rack"],
            line["placer"],
            line["life"],
            line["cls"],
            line["service"],
            line["t"],
        )
        task.attempts.append(attempt)
        self._on[line["machine"]][uid, number] = attempt
        self._offers_of[line["machine"]].append(line["t"])
        self._judge_drain(uid, attempt)
        self._judge_spread(uid, attempt)

    def _answer(self, line: Line) -> None:
        attempt = self._on[line["machine"]].get((line["task"], line["attempt"]))
        if attempt is not None and attempt.answered_at is None:
            attempt.answer, attempt.answered_at = line["answer"], line["t"]

    def _left(self, line: Line) -> None:
        attempt = self._on[line["machine"]].get((line["task"], line["attempt"]))
        if attempt is not None:
            attempt.left_at = line["t"]

    def _start(self, line: Line) -> None:
        attempt = self._on[line["machine"]].get((line["task"], line["attempt"]))
        self._verdict.starts += 1
        if attempt is not None:
            attempt.started_at = line["t"]
            self._tasks[line["task"]].starts.append(attempt)

    def _end(self, line: Line) -> None:
        for (uid, _), attempt in self._on[line["machine"]].items():
            if uid == line["task"] and attempt.started_at is not None and attempt.ended_at is None:
                attempt.ended_at = line["t"]

    def _gone_told(self, line: Line) -> None:
        for (uid, _), attempt in self._on[line["machine"]].items():
            if uid == line["task"] and attempt.gone_told_at is None:
                attempt.gone_told_at = line["t"]

    # ---- Clients' and the director's lines ------------------------------------------------------------

    def _taken(self, line: Line) -> None:
        """A client's job was taken; `t0` is when the client sent it."""
        for uid in line["tasks"]:
            task = self._tasks.setdefault(uid, _Task(line["cls"]))
            task.submitted_at, task.patience_ms = line["t0"], line["patience_ms"]
            task.placer, task.work = line["placer"], line.get("work", uid)

    def _answer_seen(self, line: Line) -> None:
        task = self._tasks.setdefault(line["task"], _Task(line.get("cls", "")))
        task.answers.append((line["t"], line["answer"]))

    def _withdrawn(self, line: Line) -> None:
        for uid in line["tasks"]:
            if uid in self._tasks:
                self._tasks[uid].withdrawn_at = line["t"]

    def _drain_asked(self, line: Line) -> None:
        key = line["placer"], line["machine"]
        if line["on"]:
            self._drained_by_owner.setdefault(key, line["t"])
        else:
            self._drained_by_owner.pop(key, None)

    def _placer_killed(self, line: Line) -> None:
        self._kills[line["placer"]].append(line["t"])
        for key in [key for key in self._draining if key[0] == line["placer"]]:
            del self._draining[key]  # its next life has yet to be told
        for key in [key for key in self._drained_by_owner if key[0] == line["placer"]]:
            del self._drained_by_owner[key]

    def _placer_stalled(self, line: Line) -> None:
        """The process stands still: it can neither hear nor answer until it goes on."""
        self._stalls[line["placer"]].append((line["t"], line["t"] + line["for_ms"]))

    def _day_over(self, line: Line) -> None:
        self._over_at = line["t"]

    def _cut(self, line: Line) -> None:
        self._cuts[line["source"], line["target"]].append([line["t"], float("inf")])

    def _healed(self, line: Line) -> None:
        self._cuts[line["source"], line["target"]][-1][1] = line["t"]

    def _sent_out(self, line: Line) -> None:
        self._sent.setdefault((line["task"], line["attempt"]), line["t"])

    def _when_heard(self, machine: str, placer: str, t: float) -> float:
        """When a placer heard what its machine told it at `t`: not while the way was cut."""
        for begin, end in self._cuts[machine, placer]:
            if begin <= t < end:
                t = end
        return self._when_awake(placer, t)

    def _when_awake(self, placer: str, t: float) -> float:
        """The first time from `t` on at which a placer could do something."""
        for begin, end in self._stalls[placer]:
            if begin <= t < end:
                t = end
        return t

    # ---- Judged as they come --------------------------------------------------------------------------

    def _judge_drain(self, uid: str, attempt: _Attempt) -> None:
        key = attempt.placer, attempt.machine
        # What was held up on its way went out earlier than its machine saw it.
        sent = self._sent.get((uid, attempt.number), attempt.t)
        for told in (self._draining.get(key), self._drained_by_owner.get(key)):
            if told is None:
                continue
            heard = self._when_heard(attempt.machine, attempt.placer, told)
            if sent > heard + self._figures.drain_grace_ms + self._slack:
                late = sent - heard
                self._break(
                    DRAINS,
                    attempt.t,
                    f"{attempt.placer} offered {uid} to {attempt.machine} {late:.0f} ms after it was told",
                )

    def _judge_spread(self, uid: str, attempt: _Attempt) -> None:
        rule = self._figures.classes[attempt.cls]
        if rule.apart == "none":
            return
        place = attempt.place(rule.apart)
        there = self._there[attempt.placer, attempt.service, place]
        # A later attempt of the same task stands for the earlier: its machine may not have heard of the end.
        own = self._tasks[uid].attempts
        there[:] = [
            other
            for other in there
            if self._counts(other, attempt.t) and not any(other is earlier for earlier in own)
        ]
        there.append(attempt)
        if len(there) > rule.together:
            self._break(
                SPREAD,
                attempt.t,
                f"{attempt.placer} has {len(there)} of {attempt.service} in {place}, at most {rule.together}",
            )

    def _counts(self, attempt: _Attempt, now: float) -> bool:
        """Whether an attempt is still its placer's in that place: out, or placed and not told to be over."""
        if attempt.gone_told_at is not None or attempt.down_at is not None:
            return False
        if any(attempt.t < killed <= now for killed in self._kills[attempt.placer]):
            return False  # of an earlier life; what of it is found again is counted by the placer alone
        if attempt.answered_at is not None:
            heard = self._when_heard(attempt.machine, attempt.placer, attempt.answered_at)
            if attempt.left_at is not None and attempt.left_at < heard:
                return False  # given up before its answer came over a cut; its machine is told to stop it
            return attempt.answer in ("running", "accepted")
        return attempt.left_at is None

    # ---- Judged at the end ----------------------------------------------------------------------------

    def judge(self) -> Verdict:
        starts_of_work: dict[str, list[str]] = defaultdict(list)
        for uid, task in self._tasks.items():
            self._judge_answers(uid, task)
            self._judge_attempts(uid, task)
            self._judge_effect(uid, task)
            if task.work and self._effect(task) == "unsafe":
                starts_of_work[task.work] += [uid] * len(task.starts)
        for work, uids in starts_of_work.items():
            if len(uids) > 1 and len(set(uids)) > 1:
                self._break(NO_EFFECT_TWICE, 0.0, f"unsafe work {work} started {len(uids)} times: {uids}")
        for machine in self._boots:
            self._judge_cold(machine)
        self._verdict.violations.sort(key=lambda violation: violation.t)
        return self._verdict

    def _effect(self, task: _Task) -> str:
        rule = self._figures.classes.get(task.cls)
        return rule.effect if rule is not None else "safe"

    def _judge_answers(self, uid: str, task: _Task) -> None:
        verdict = self._verdict
        answers = {answer for _, answer in task.answers}
        if len(answers) > 1:
            self._break(ONE_ANSWER, task.answers[-1][0], f"{uid} was answered {sorted(answers)}")
        if task.submitted_at is None:
            return
        verdict.tasks += 1
        due = self._when_awake(task.placer, task.submitted_at + task.patience_ms)
        if task.answers:
            seen_at, answer = task.answers[0]
            verdict.final[answer] += 1
            verdict.latencies_ms.append(seen_at - task.submitted_at)
            killed = any(task.submitted_at <= killed <= seen_at for killed in self._kills[task.placer])
            if seen_at > due + self._figures.answer_grace_ms and not killed:
                late = seen_at - due
                self._break(ONE_ANSWER, seen_at, f"{uid} was answered {late:.0f} ms after its owner gave up")
            for attempt in task.attempts:
                if attempt.t > seen_at + self._slack:
                    late = attempt.t - seen_at
                    text = f"{uid} was offered to {attempt.machine} {late:.0f} ms after its answer"
                    self._break(ONE_ANSWER, attempt.t, text)
            return
        if task.withdrawn_at is not None:
            verdict.withdrawn += 1
        elif any(task.submitted_at <= killed <= due + self._slack for killed in self._kills[task.placer]):
            verdict.held_when_killed += 1
        elif due + self._figures.answer_grace_ms + self._slack > self._over_at:
            verdict.open_at_end += 1
        else:
            verdict.without_final += 1
            self._break(ONE_ANSWER, due, f"{uid} of {task.placer} has no answer")

    def _judge_attempts(self, uid: str, task: _Task) -> None:
        numbers = {attempt.number for attempt in task.attempts}
        if len(numbers) > self._figures.max_attempts:
            self._break(ONE_ATTEMPT, task.attempts[-1].t, f"{uid} was offered {len(numbers)} times")
        ordered = sorted(task.attempts, key=lambda attempt: attempt.t)
        for before, after in pairwise(ordered):
            closed = before.closed_at
            if closed is None or closed > after.t + self._slack:
                self._break(
                    ONE_ATTEMPT,
                    after.t,
                    f"{uid} was offered to {after.machine} while it was out at {before.machine}",
                )

    def _judge_effect(self, uid: str, task: _Task) -> None:
        rule = self._figures.classes.get(task.cls)
        if rule is None or rule.effect == "safe":
            return
        ordered = sorted(task.attempts, key=lambda attempt: attempt.t)
        for position, after in enumerate(ordered):
            for before in ordered[:position]:
                if before.never_ran:
                    continue
                if rule.effect == "unsafe":
                    self._break(
                        NO_EFFECT_TWICE,
                        after.t,
                        f"unsafe {uid} was offered to {after.machine}, may have run at {before.machine}",
                    )
                elif before.place(rule.group) != after.place(rule.group):
                    self._break(
                        NO_EFFECT_TWICE,
                        after.t,
                        f"keyed {uid} was offered to {after.machine}, outside the {rule.group} of "
                        f"{before.machine}, where it may have run",
                    )
                elif after.t > before.t + rule.window_ms + self._slack:
                    late = after.t - before.t
                    self._break(
                        NO_EFFECT_TWICE, after.t, f"keyed {uid} was offered again after {late:.0f} ms"
                    )
        for one, other in pairwise(task.starts):
            together = one.ended_at is None or other.started_at is None or one.ended_at > other.started_at
            if rule.effect == "unsafe" or (one.machine != other.machine and together):
                self._break(
                    NO_EFFECT_TWICE,
                    other.started_at or 0.0,
                    f"{rule.effect} {uid} started at {one.machine} and again at {other.machine}",
                )
        refused = any(answer == "Refused" for _, answer in task.answers)
        harmless = rule.effect == "keyed" and rule.group == "all"
        if refused and not harmless:
            for attempt in task.attempts:
                if not attempt.never_ran:
                    self._break(
                        NO_EFFECT_TWICE,
                        attempt.t,
                        f"{rule.effect} {uid} was refused though it may have run at {attempt.machine}",
                    )

    def _judge_cold(self, machine: str) -> None:
        """All placers' offers to a machine that has just come up, in every window of the stated length."""
        figures = self._figures
        lives = self._boots[machine]
        for position, boot in enumerate(lives):
            if not boot["cold"]:
                continue
            until = lives[position + 1]["t"] if position + 1 < len(lives) else float("inf")
            warm_at = boot["t"] + boot["cold_ms"]
            offers = [t for t in self._offers_of[machine] if boot["t"] <= t < min(until, warm_at)]
            warmup = Warmup(boot["cold_from"], boot["cold_ms"])
            first = 0
            for last, t in enumerate(offers):
                while offers[first] <= t - figures.cold_window_ms:
                    first += 1
                age = t - boot["t"]
                bears = figures.cold_multiple * warmup.starts(
                    max(0.0, age - figures.cold_window_ms), max(figures.cold_window_ms, age), boot["rate"]
                )
                count = last - first + 1
                if count > max(bears, figures.cold_offers):
                    self._break(
                        COLD, t, f"{machine} was offered {count} in a window when it bears {bears:.0f}"
                    )
                    break


def check(lines: Iterable[Line], figures: Figures, slack_ms: float = SLACK_MS) -> Verdict:
    """The verdict on a day's lines."""
    checker = Checker(figures, slack_ms)
    checker.take(lines)
    return checker.judge()
