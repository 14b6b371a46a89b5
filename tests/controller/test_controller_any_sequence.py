"""Property test: after any sequence of events, each task has exactly one answer before its deadline."""

from __future__ import annotations

from controllers import ControllerDriver
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.api.meta import JOBS, Object
from kelpfront.controller.intents import SendOffer

STEPS = ("submit", "clear", "answer", "answer", "fail", "taken", "gone", "time", "link", "cordon", "boot")
TIMEOUTS_MS = {"300ms": 300.0, "2s": 2000.0}
NOT_EXECUTED_ENDS = {"refused", "unreachable"}
MAX_ATTEMPTS = 4


class RandomSequence(ControllerDriver):
    """Draws a random event for each step, and checks the invariants after it."""

    def __init__(self, data: st.DataObject) -> None:
        super().__init__(data.draw(st.integers(1, 5)))
        self.data = data
        self.answers: dict[str, str] = {}
        self.deadlines: dict[str, float] = {}
        self.cleared: set[tuple[str, int]] = set()

    # ---- Steps

    def step(self, number: int) -> None:
        kind = self.data.draw(st.sampled_from(STEPS))
        offers = self.intents_of(SendOffer)
        sent = self.data.draw(st.sampled_from(offers)) if offers else None
        host = self.data.draw(st.sampled_from(sorted(self.seq)))
        if kind == "submit":
            self.submit_random_job(f"j{number}")
        elif kind == "time":
            self.advance_time()
        elif kind in ("link", "cordon", "boot"):
            self.change_machine(kind, host)
        elif sent is not None:
            self.change_offer(kind, sent)
        self.collect()

    def submit_random_job(self, name: str) -> None:
        cls = self.data.draw(st.sampled_from(["web", "ingest", "blend"]))
        timeout = self.data.draw(st.sampled_from(sorted(TIMEOUTS_MS, reverse=True)))
        self.submit(name, cls, patience=timeout, key=("k" if cls == "ingest" else None))
        self.deadlines[name] = self.now + TIMEOUTS_MS[timeout]

    def advance_time(self) -> None:
        ms = self.data.draw(st.sampled_from([1.0, 50.0, 400.0, 2500.0]))
        self.advance(ms, heartbeats=self.data.draw(st.booleans()))

    def change_machine(self, kind: str, host: str) -> None:
        if kind == "link":
            self.controller.on_link_down(self.now, host)
        elif kind == "cordon":
            self.controller.cordon(self.now, host, unschedulable=self.data.draw(st.booleans()))
        else:
            self.connect(host, boot=self.data.draw(st.sampled_from(["boot-1", "boot-2"])), age_ms=5.0)
            self.send_snapshot(host)

    def change_offer(self, kind: str, sent: SendOffer) -> None:
        attempt = sent.offer.task, sent.offer.attempt
        if kind == "clear":
            if self.clear(sent):
                self.cleared.add(attempt)
        elif kind == "fail":
            self.fail_offer(sent)
        elif attempt in self.cleared:
            self.report_from_machine(kind, sent)

    def report_from_machine(self, kind: str, sent: SendOffer) -> None:
        if kind == "answer":
            answer = self.data.draw(st.sampled_from(["running", "accepted", "refused", "error"]))
            reason = self.data.draw(st.sampled_from(["", "NO_CORES", "QUEUE_FULL", "NOT_HERE"]))
            self.answer_offer(sent, answer, reason if answer == "refused" else "")
        elif kind == "taken":
            self.report_taken(sent.host, sent.offer.task, sent.offer.attempt)
        else:
            cause = self.data.draw(st.sampled_from(["ended", "evicted", "stopped", "sent-away"]))
            self.report_gone(sent.host, sent.offer.task, sent.offer.attempt, cause)

    # ---- Invariants

    def check(self) -> None:
        for stored in self.store.objects(JOBS):
            for task in stored.body["status"]["tasks"]:
                self.check_task(task)
                if stored.body["spec"]["class"] == "blend":
                    self.check_non_idempotent(task)

    def check_task(self, task: Object) -> None:
        answer = task.get("answer")
        if answer is not None:
            assert self.answers.setdefault(task["uid"], answer) == answer
        assert sum("end" not in attempt for attempt in task["attempts"]) <= 1
        assert len(task["attempts"]) <= MAX_ATTEMPTS

    @staticmethod
    def check_non_idempotent(task: Object) -> None:
        possibly_executed = [
            attempt for attempt in task["attempts"] if attempt.get("end") not in NOT_EXECUTED_ENDS
        ]
        assert len(possibly_executed) <= 1, "no attempt may follow one that may have been executed"
        if task.get("answer") == "Refused":
            assert possibly_executed == []

    def check_deadlines(self) -> None:
        for name, deadline in self.deadlines.items():
            if self.now > deadline + 1:
                assert "answer" in self.task(name), name


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.data())
def test_each_task_has_one_answer_in_time_after_any_sequence(data: st.DataObject) -> None:
    driver = RandomSequence(data)
    for number in range(data.draw(st.integers(5, 40))):
        driver.step(number)
        driver.check()
        driver.check_deadlines()
    driver.advance(20_000.0)
    driver.check()
    assert driver.controller.open_tasks == 0
    assert all("answer" in driver.task(name) for name in driver.deadlines)
