"""Judges a recorded day by the five rules, from what went over the sockets alone.

It reads lines that machines and clients wrote (`recording`), and the figures of the rules. It shares no code
with the placer's decisions and never sees a placer's state. Where the order of two events is judged that two
processes wrote, it allows for the time that a busy process may take to write its line (`SLACK_MS`).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from itertools import pairwise

from kelpfront.lab.recording import Line
from kelpfront.lab.seen import (
    COLD,
    DRAINS,
    NO_EFFECT_TWICE,
    ONE_ANSWER,
    ONE_ATTEMPT,
    SLACK_MS,
    SPREAD,
    STRAY_MS,
    STRAYS,
    AttemptSeen,
    Figures,
    TaskSeen,
    Verdict,
    Violation,
)
from kelpfront.machine.slow_start import SlowStart


class Checker:
    """Takes the lines of one day, in the order of their times; `judge` then gives the verdict."""

    def __init__(
        self, figures: Figures, slack_ms: float = SLACK_MS, told_slack_ms: float | None = None
    ) -> None:
        self._figures, self._slack = figures, slack_ms
        # Where both ends of a way are seen on one clock, what was told can be dated more narrowly.
        self._told_slack = slack_ms if told_slack_ms is None else told_slack_ms
        self._tasks: dict[str, TaskSeen] = {}
        self._on: dict[str, dict[tuple[str, int], AttemptSeen]] = defaultdict(dict)  # machine: its offers
        self._boots: dict[str, list[Line]] = defaultdict(list)
        self._offers_of: dict[str, list[float]] = defaultdict(list)
        self._kills: dict[str, list[float]] = defaultdict(list)
        self._stalls: dict[str, list[tuple[float, float]]] = defaultdict(list)  # from, until
        self._cuts: dict[tuple[str, str], list[list[float]]] = defaultdict(list)  # one way: from, until
        self._sent: dict[tuple[str, int], float] = {}  # offers: when they went out, where that was seen
        self._draining: dict[tuple[str, str], float] = {}  # placer, machine: since when it was told
        self._drained_by_owner: dict[tuple[str, str], float] = {}
        self._there: dict[tuple[str, str, str], list[AttemptSeen]] = defaultdict(
            list
        )  # placer, service, place
        self._over_at = float("inf")  # when the day was broken off
        self._last = 0.0  # of all lines
        self._deaf: dict[str, list[tuple[float, float]]] = defaultdict(list)  # machines that say nothing
        self._verdict = Verdict()

    def take(self, lines: Iterable[Line]) -> None:
        for line in lines:
            handler = getattr(self, "_" + line["ev"].replace("-", "_"), None)
            self._last = max(self._last, line["t"])
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
        task = self._tasks.setdefault(uid, TaskSeen(line["cls"]))
        attempt = AttemptSeen(
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
            task = self._tasks.setdefault(uid, TaskSeen(line["cls"]))
            task.submitted_at, task.patience_ms = line["t0"], line["patience_ms"]
            task.placer, task.work = line["placer"], line.get("work", uid)

    def _answer_seen(self, line: Line) -> None:
        task = self._tasks.setdefault(line["task"], TaskSeen(line.get("cls", "")))
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

    def _fault(self, line: Line) -> None:
        if line["kind"] in ("silence", "mute"):
            for machine in line["hosts"]:
                self._deaf[machine].append((line["t"], line["t"] + line["for_s"] * 1000.0))

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

    def _judge_drain(self, uid: str, attempt: AttemptSeen) -> None:
        key = attempt.placer, attempt.machine
        # What was held up on its way went out earlier than its machine saw it.
        sent = self._sent.get((uid, attempt.number), attempt.t)
        for told in (self._draining.get(key), self._drained_by_owner.get(key)):
            if told is None:
                continue
            heard = self._when_heard(attempt.machine, attempt.placer, told)
            if sent > heard + self._figures.drain_grace_ms + self._told_slack:
                late = sent - heard
                self._break(
                    DRAINS,
                    attempt.t,
                    f"{attempt.placer} offered {uid} to {attempt.machine} {late:.0f} ms after it was told",
                )

    def _judge_spread(self, uid: str, attempt: AttemptSeen) -> None:
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

    def _counts(self, attempt: AttemptSeen, now: float) -> bool:
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
            self._judge_strays(uid, task)
            if task.work and self._effect(task) == "unsafe":
                starts_of_work[task.work] += [uid] * len(task.starts)
        for work, uids in starts_of_work.items():
            if len(uids) > 1 and len(set(uids)) > 1:
                self._break(NO_EFFECT_TWICE, 0.0, f"unsafe work {work} started {len(uids)} times: {uids}")
        for machine in self._boots:
            self._judge_cold(machine)
        self._verdict.violations.sort(key=lambda violation: violation.t)
        return self._verdict

    def _effect(self, task: TaskSeen) -> str:
        rule = self._figures.classes.get(task.cls)
        return rule.effect if rule is not None else "safe"

    def _judge_answers(self, uid: str, task: TaskSeen) -> None:
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

    def _judge_attempts(self, uid: str, task: TaskSeen) -> None:
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

    def _judge_effect(self, uid: str, task: TaskSeen) -> None:
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

    def _judge_strays(self, uid: str, task: TaskSeen) -> None:
        """Copies that run on though nobody wants them, and though their placer could have had them stopped.

        Time counts while the placer is there, the way to the machine is open and the machine speaks: what is
        cut off or silent can be stopped only when it is back.
        """
        for attempt in task.starts:
            since = self._unwanted_since(task, attempt)
            if since is None or attempt.started_at is None:
                continue
            since = max(since, attempt.started_at)
            ends = (attempt.ended_at, attempt.down_at, self._over_at, self._last)
            until = min(end for end in ends if end is not None)
            if any(attempt.t < killed <= until for killed in self._kills[attempt.placer]):
                continue  # the next life may find it, and take it for its own
            hindered = [
                *self._deaf[attempt.machine],
                *self._stalls[attempt.placer],
                *((begin, end) for begin, end in self._cuts[attempt.machine, attempt.placer]),
                *((begin, end) for begin, end in self._cuts[attempt.placer, attempt.machine]),
            ]
            for begin, end in sorted(hindered):  # what lies before or in it does not count
                if begin < until and end > since and begin - since <= STRAY_MS:
                    since = end
            if until - since > STRAY_MS + self._slack:
                text = f"{uid} ran on at {attempt.machine} {until - since:.0f} ms after nobody wanted it"
                self._break(STRAYS, since + STRAY_MS, text)

    def _unwanted_since(self, task: TaskSeen, attempt: AttemptSeen) -> float | None:
        """From when on a copy that started is wanted by nobody; None where it may be wanted."""
        times = []
        if task.withdrawn_at is not None:
            times.append(task.withdrawn_at)
        placed = [
            a
            for a in task.attempts
            if a.answer in ("running", "accepted")
            and (a.left_at is None or a.left_at >= (a.answered_at or 0.0))
        ]
        last = max(
            placed, key=lambda a: a.number, default=None
        )  # one is out at a time: it is the one that stands
        same = last is not None and last.machine == attempt.machine  # a repeat there takes the copy over
        if not same and task.answers:
            seen_at, answer = task.answers[0]
            safe = self._effect(task) == "safe"  # others that failed are taken up while their owner looks
            elsewhere = answer == "Placed" and last is not None and last.number > attempt.number
            if answer == "Refused" or (answer == "Failed" and safe) or elsewhere:
                times.append(max(seen_at, (last.answered_at if last is not None else None) or 0.0))
        return min(times, default=None)

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
            slow_start = SlowStart(boot["cold_from"], boot["cold_ms"])
            first = 0
            for last, t in enumerate(offers):
                while offers[first] <= t - figures.cold_window_ms:
                    first += 1
                age = t - boot["t"]
                bears = figures.cold_multiple * slow_start.starts_between(
                    max(0.0, age - figures.cold_window_ms), max(figures.cold_window_ms, age), boot["rate"]
                )
                count = last - first + 1
                if count > max(bears, figures.cold_offers):
                    self._break(
                        COLD, t, f"{machine} was offered {count} in a window when it bears {bears:.0f}"
                    )
                    break


def check(
    lines: Iterable[Line],
    figures: Figures,
    slack_ms: float = SLACK_MS,
    told_slack_ms: float | None = None,
) -> Verdict:
    """The verdict on a day's lines."""
    checker = Checker(figures, slack_ms, told_slack_ms)
    checker.take(lines)
    return checker.judge()
