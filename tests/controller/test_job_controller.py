"""The placer's controller: one answer for each task, whatever machines, owners and clocks do."""

from __future__ import annotations

from typing import Any

import pytest
from controllers import ControllerDriver, cluster, hosts, report
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Answer, Job, JobSpec
from kelpfront.api.machines import Machine
from kelpfront.api.meta import JOBS
from kelpfront.controller.intents import LogLine, SendOffer
from kelpfront.controller.jobs import JobLimits, JobUpdate
from kelpfront.controller.orphans import OrphanDecision, OrphanSituation, decide
from kelpfront.machine import messages as wire
from kelpfront.scheduling.settings import FailureDomain, Idempotency, TaskClass


def test_a_task_from_submission_to_its_end() -> None:
    driver = ControllerDriver()
    driver.submit()
    assert driver.job()["status"]["phase"] == "Placing"
    sent = driver.last_offer()
    assert driver.clear(sent) and not driver.clear(sent), "cleared once"
    driver.now += 20
    driver.answer(sent, "running")
    assert driver.state() == ("Running", "Placed")
    assert driver.task()["machine"] == sent.host
    driver.taken(sent.host, sent.offer.task)
    driver.gone(sent.host, sent.offer.task, exit_code=3)
    task = driver.task()
    assert (task["state"], task["answer"], task["exitCode"]) == ("Ended", "Placed", 3)
    assert [attempt["end"] for attempt in task["attempts"]] == ["ended"]
    assert driver.job()["status"]["phase"] == "Finished"
    Job.model_validate(driver.job())
    Machine.model_validate(driver.machine(sent.host))


def test_the_offer_carries_what_a_machine_and_a_later_life_of_the_placer_need() -> None:
    driver = ControllerDriver()
    driver.submit("a", "ingest", key="batch-7", clientToken="tok", count=2, cores=2)
    offer = driver.of(SendOffer)[1].offer
    assert (offer.job.namespace, offer.job.name, offer.job.index, offer.job.count, offer.job.token) == (
        "climate",
        "a",
        1,
        2,
        "tok",
    )
    assert (offer.key, offer.group, offer.effect, offer.service) == (
        "climate/batch-7/1",
        "zone",
        "keyed",
        "climate/front",
    )
    assert driver.now < offer.not_after <= driver.now + 4000


def test_refusals_are_shown_as_given_and_the_next_machine_is_asked() -> None:
    driver = ControllerDriver()
    sent = driver.sent()
    driver.answer(sent, "refused", "NO_CORES", "21 asked for in all, 20 accepted")
    second = driver.last_offer()
    assert second.host != sent.host and second.offer.attempt == 1
    assert driver.clear(second)
    driver.answer(second, "refused", "LICENCE", "none left")
    attempts = driver.task()["attempts"]
    assert [(a["end"], a["reason"], a["message"]) for a in attempts[:2]] == [
        ("refused", "NO_CORES", "21 asked for in all, 20 accepted"),
        ("refused", "LICENCE", "none left"),
    ]
    assert [a["machine"] for a in attempts[:2]] == [sent.host, second.host]


def test_four_refusals_are_a_refusal_and_nothing_goes_out_after_it() -> None:
    driver = ControllerDriver(machines=8)
    sent = driver.sent()
    driver.answer(sent, "refused", "NOT_HERE")
    for number in (1, 2, 3):
        sent = driver.next_offer(sent)
        assert sent.offer.attempt == number
        driver.answer(sent, "refused", "NOT_HERE")
    assert driver.state() == ("Refused", "Refused")
    assert driver.task()["reason"] == "NOT_HERE"
    before = len(driver.of(SendOffer))
    driver.advance(10_000.0)
    assert len(driver.of(SendOffer)) == before
    assert driver.controller.open_tasks == 0


def test_no_machine_in_time_is_a_refusal_before_the_owner_gives_up() -> None:
    driver = ControllerDriver(machines=0)
    start = driver.now
    driver.submit(patience="2s")
    driver.advance(1990.0)
    assert driver.state() == ("Pending", None)
    driver.advance(20.0)
    task = driver.task()
    assert (task["state"], task["reason"]) == ("Refused", "NO_MACHINE")
    assert driver.now - start <= 2010


def test_patience_counts_from_when_the_request_came() -> None:
    driver = ControllerDriver(machines=0)
    driver.submit(patience="2s", received=driver.now - 1900)
    driver.advance(100.0)
    assert driver.state() == ("Refused", "Refused")
    driver.submit("late", patience="1s", received=driver.now - 5000)
    driver.advance(5.0)
    assert driver.state("late") == ("Refused", "Refused")


@pytest.mark.parametrize(
    ("how", "ends"), [("not sent", "unreachable"), ("sent", "reset"), ("silent", "timed out")]
)
def test_whether_an_offer_went_out_decides_what_its_failure_means(how: str, ends: str) -> None:
    driver = ControllerDriver()
    driver.submit("a", "blend")
    sent = driver.last_offer()
    if how != "not sent":
        assert driver.clear(sent)
    if how == "silent":
        driver.advance(4000.0)
    else:
        driver.fail(sent)
    assert driver.task()["attempts"][0]["end"] in (ends, "given up")
    if how == "not sent":
        assert driver.state() == ("Placing", None), "an unsafe task that never ran may be tried again"
        assert driver.last_offer().offer.attempt == 1
    else:
        assert driver.state() == ("Failed", "Failed")
        assert len(driver.of(SendOffer)) == 1


def test_an_offer_is_not_cleared_once_its_time_or_machine_or_task_is_gone() -> None:
    late = ControllerDriver()
    late.submit()
    late.now += late.controller.cluster.settings.connect_timeout_ms + 1
    assert not late.clear(late.last_offer()), "held up for longer than cold machines' turns allow"
    drained = ControllerDriver()
    drained.submit()
    drained.controller.cordon(drained.now, drained.last_offer().host, unschedulable=True)
    assert not drained.clear(drained.last_offer())
    deleted = ControllerDriver()
    deleted.submit()
    deleted.controller.delete(deleted.now, ("climate", "a"))
    assert not deleted.clear(deleted.last_offer())
    silent = ControllerDriver()
    silent.submit(patience="1h")
    silent.controller.on_link_down(silent.now, silent.last_offer().host)
    assert silent.clear(silent.last_offer()), "a stream may break and come back"


# ---- Copies that turn up ----------------------------------------------------------------------------------


def test_a_safe_task_that_timed_out_is_stopped_there_and_placed_elsewhere() -> None:
    driver = ControllerDriver()
    sent = driver.sent()
    second = driver.next_offer(sent)
    assert second.host != sent.host
    assert (sent.host, sent.offer.task, 0) in driver.stops
    assert (sent.host, sent.offer.task, 0) in driver.abandoned
    driver.answer(second, "running")
    count = len(driver.stops)
    driver.taken(sent.host, sent.offer.task)
    assert len(driver.stops) == count + 1, "the late copy is stopped"
    assert driver.state() == ("Running", "Placed")
    assert driver.task()["machine"] == second.host


def test_an_unsafe_task_that_failed_and_turns_out_to_run_is_adopted() -> None:
    driver = ControllerDriver()
    sent = driver.sent("a", "blend")
    driver.fail(sent)
    assert driver.state() == ("Failed", "Failed")
    assert driver.stops == [], "it may run, and cannot be started again"
    driver.now += 500
    driver.taken(sent.host, sent.offer.task)
    assert driver.state() == ("Running", "Failed"), "the answer stays"
    assert driver.task()["attempts"][0]["message"] == "reset, then found to run"
    assert driver.job()["status"]["phase"] == "Active"
    driver.gone(sent.host, sent.offer.task)
    assert driver.state() == ("Ended", "Failed")


def test_an_unsafe_task_that_turns_up_after_the_recheck_is_stopped() -> None:
    driver = ControllerDriver()
    sent = driver.sent("a", "blend")
    driver.fail(sent)
    assert driver.stops == []
    driver.advance(driver.controller.cluster.settings.orphan_check_ms + 200)
    assert driver.stops == [(sent.host, sent.offer.task, 0)], "whether it runs or not"
    driver.taken(sent.host, sent.offer.task)
    assert driver.state() == ("Failed", "Failed")
    assert driver.stops == [(sent.host, sent.offer.task, 0)] * 2


def test_a_keyed_task_that_turns_up_while_another_attempt_is_out_waits_for_it() -> None:
    driver = ControllerDriver(machines=8)
    sent = driver.sent("a", "ingest")
    driver.fail(sent)
    second = driver.last_offer()
    rooms = {host: driver.machine(host)["spec"]["room"] for host in (sent.host, second.host)}
    assert second.host != sent.host and len(set(rooms.values())) == 1
    assert driver.clear(second)
    driver.taken(sent.host, sent.offer.task)
    assert driver.state() == ("Placing", None)
    driver.answer(second, "refused", "NOT_HERE", f"a copy stands on {sent.host}")
    assert driver.state() == ("Running", "Placed")
    assert driver.task()["machine"] == sent.host
    assert len(driver.of(SendOffer)) == 2 and driver.stops == []


def test_a_keyed_task_that_turns_up_after_it_was_placed_elsewhere_is_stopped() -> None:
    driver = ControllerDriver(machines=8)
    sent = driver.sent("a", "ingest")
    driver.fail(sent)
    second = driver.last_offer()
    assert driver.clear(second)
    driver.taken(sent.host, sent.offer.task)
    driver.answer(second, "running")
    assert driver.stops == [(sent.host, sent.offer.task, 0)]
    assert driver.task()["machine"] == second.host


def test_the_stream_may_tell_before_the_answer_and_the_answer_then_changes_nothing() -> None:
    driver = ControllerDriver()
    sent = driver.sent()
    driver.taken(sent.host, sent.offer.task)
    assert driver.state() == ("Running", "Placed")
    revision = driver.store.revision
    driver.answer(sent, "running")
    driver.fail(sent)
    assert driver.store.revision == revision


@settings(derandomize=True, deadline=None)
@given(
    effect=st.sampled_from(Idempotency),
    answer=st.sampled_from([None, *Answer]),
    attempt_out=st.booleans(),
    placed=st.booleans(),
    wanted=st.booleans(),
    given_up_ms=st.floats(0, 10_000),
)
def test_a_stray_is_never_adopted_where_another_may_run(
    effect: Idempotency,
    answer: Answer | None,
    attempt_out: bool,
    placed: bool,
    wanted: bool,
    given_up_ms: float,
) -> None:
    decision = decide(
        OrphanSituation(
            effect,
            answer,
            attempt_out=attempt_out,
            placed=placed,
            wanted=wanted,
            given_up_ms=given_up_ms,
            recheck_ms=3000.0,
        )
    )
    if decision is OrphanDecision.ADOPT:
        assert wanted and not placed and effect is not Idempotency.IDEMPOTENT
        assert answer is Answer.FAILED or (answer is None and not attempt_out) or answer is Answer.PLACED
        assert answer is None or given_up_ms <= 3000.0
    if decision is OrphanDecision.WAIT:
        assert attempt_out and answer is None


# ---- Owners -----------------------------------------------------------------------------------------------


def test_deleting_a_job_withdraws_its_tasks_wherever_they_are() -> None:
    driver = ControllerDriver()
    running = driver.sent("a")
    driver.answer(running, "running")
    out = driver.sent("b", "blend")
    driver.submit("c", cores=1000.0)  # waits
    for name in "abc":
        driver.controller.delete(driver.now, ("climate", name))
        driver.collect()
    assert driver.stops == [(running.host, running.offer.task, 0), (out.host, out.offer.task, 0)]
    assert (out.host, out.offer.task, 0) in driver.abandoned
    driver.gone(running.host, running.offer.task, cause="stopped")
    driver.answer(out, "running")
    driver.advance(10_000.0)
    assert driver.controller.open_tasks == 0
    assert driver.store.count(JOBS) == 0
    assert (
        driver.controller.context.tasks.by_uid == {} and driver.controller.context.tasks.by_scheduler_id == {}
    )


def test_a_change_of_count_adds_and_withdraws_tasks_and_nothing_else_changes() -> None:
    driver = ControllerDriver()
    driver.submit(count=2)
    spec: dict[str, Any] = {"class": "web", "service": "front", "cores": 1, "memory": 2}

    def update(**changes: Any) -> Any:
        its = JobSpec.model_validate({**spec, **changes})
        update = JobUpdate(its, {"team": "x"}, {}, driver.now)
        driver.controller.update(driver.now, ("climate", "a"), update)
        driver.collect()
        return driver.job()

    grown = update(count=4)
    assert [t["index"] for t in grown["status"]["tasks"]] == [0, 1, 2, 3]
    assert (grown["metadata"]["generation"], grown["metadata"]["labels"]) == (2, {"team": "x"})
    shrunk = update(count=1)
    assert [t["index"] for t in shrunk["status"]["tasks"]] == [0]
    regrown = update(count=2)
    assert [t["index"] for t in regrown["status"]["tasks"]] == [0, 4], "an index is never used again"
    with pytest.raises(ApiError) as error:
        update(cores=2, service="other")
    assert {cause.field for cause in error.value.causes} == {"spec.cores", "spec.service"}
    assert driver.controller.open_tasks == 2


def test_jobs_that_cannot_be_are_told_why() -> None:
    driver = ControllerDriver()
    for cls, spec, field in (
        ("unknown", {}, "spec.class"),
        ("web", {"key": "x"}, "spec.key"),
        ("ingest", {"key": None}, "spec.key"),
    ):
        with pytest.raises(ApiError) as error:
            driver.submit("bad", cls, **spec)
        assert [cause.field for cause in error.value.causes] == [field]
    assert driver.store.count(JOBS) == 0


def test_bounds_on_what_a_placer_takes() -> None:
    driver = ControllerDriver(machines=0, limits=JobLimits(open_tasks=5, jobs=2, finished_jobs=1))
    driver.submit("a", count=4)
    with pytest.raises(ApiError) as error:
        driver.submit("b", count=2)
    assert (error.value.code, error.value.retry_after_s) == (429, 1)
    driver.submit("b", count=1)
    driver.advance(5000.0)
    with pytest.raises(ApiError):
        driver.store.get(JOBS, ("climate", "a"))
    assert driver.state("b") == ("Refused", "Refused")
    driver.submit("c")
    driver.submit("d")
    with pytest.raises(ApiError):
        driver.submit("e")


def test_a_job_that_is_not_taken_leaves_nothing_behind() -> None:
    driver = ControllerDriver()
    first = driver.submit()
    with pytest.raises(ApiError):
        driver.submit()
    driver.advance(10_000.0)
    assert driver.job()["metadata"]["uid"] == first["metadata"]["uid"]
    assert (
        len(driver.controller.context.tasks.by_uid) + len(driver.controller.context.tasks.by_scheduler_id)
        <= 2
    )
    assert {sent.offer.task for sent in driver.of(SendOffer)} == {first["status"]["tasks"][0]["uid"]}


def test_a_token_finds_its_job() -> None:
    driver = ControllerDriver()
    driver.submit("a", clientToken="t")
    found = driver.controller.find_by_client_token("climate", "t")
    assert found is not None and found.name == "a"
    assert driver.controller.find_by_client_token("other", "t") is None
    driver.controller.delete(driver.now, ("climate", "a"))
    assert driver.controller.find_by_client_token("climate", "t") is None


def test_a_large_job_does_not_hold_up_a_drain() -> None:
    driver = ControllerDriver()
    driver.submit(count=500, cores=0.01, memory=0.01)
    assert len(driver.of(SendOffer)) <= 8
    driver.controller.cordon(driver.now, "n1", unschedulable=True)
    driver.advance(1.0)
    assert {sent.host for sent in driver.of(SendOffer)[8:]} <= {"n0", "n2", "n3"}
    assert len(driver.of(SendOffer)) == 500


# ---- Machines ---------------------------------------------------------------------------------------------


def test_a_machine_from_unknown_to_gone_and_back() -> None:
    driver = ControllerDriver(machines=2)
    assert driver.machine("n0")["status"]["state"] == "Ready"
    driver.controller.on_link_down(driver.now, "n0")
    driver.advance(900.0)
    assert driver.machine("n0")["status"]["state"] == "Ready", "a stream may be back within a second"
    driver.advance(300.0)
    assert driver.machine("n0")["status"]["state"] == "Gone"
    driver.up("n0", boot="boot-2", age_ms=10.0)
    status = driver.machine("n0")["status"]
    assert (status["state"], status["bootId"]) == ("Ready", "boot-2")


def test_a_silent_machine_is_gone_after_four_heartbeats() -> None:
    driver = ControllerDriver(machines=1)
    driver.advance(3900.0, beats=False)
    assert driver.machine("n0")["status"]["state"] == "Ready"
    driver.advance(300.0, beats=False)
    assert driver.machine("n0")["status"]["state"] == "Gone"
    assert "silent" in driver.machine("n0")["status"]["message"]
    driver.beat("n0")
    assert driver.machine("n0")["status"]["state"] == "Ready"


@pytest.mark.parametrize("word", ["operator", "machine", "inventory"])
def test_a_drained_machine_gets_nothing_new_whoever_says_so(word: str) -> None:
    driver = ControllerDriver(machines=2)
    driver.advance(300.0)
    if word == "operator":
        driver.controller.cordon(driver.now, "n0", unschedulable=True)
    elif word == "machine":
        driver.beat("n0", "draining")
    else:
        driver.controller.apply_inventory(
            driver.now, type(hosts(1))("", {name: h for name, h in hosts(2).hosts.items() if name != "n0"})
        )
    driver.collect()
    driver.submit(count=30, cores=0.1, memory=0.1)
    driver.advance(500.0)
    assert {sent.host for sent in driver.of(SendOffer)} == {"n1"}
    if word == "operator":
        assert driver.machine("n0")["spec"]["unschedulable"] is True
        driver.controller.cordon(driver.now, "n0", unschedulable=False)
        assert driver.machine("n0")["status"]["state"] == "Ready"


def test_tasks_of_a_machine_that_stays_away_are_lost_and_stopped_if_it_returns() -> None:
    driver = ControllerDriver(machines=2)
    sent = driver.sent()
    driver.answer(sent, "running")
    driver.controller.on_link_down(driver.now, sent.host)
    driver.advance(5000.0)
    assert driver.state() == ("Running", "Placed")
    driver.advance(1500.0)
    assert driver.state() == ("Lost", "Placed")
    assert driver.task()["reason"] == "MACHINE_LOST"
    driver.up(sent.host, resumed=True)
    driver.snapshot(sent.host, report(sent.offer.task, life="life-1"))
    assert driver.stops == [(sent.host, sent.offer.task, 0)]
    assert driver.state() == ("Lost", "Placed")


def test_a_machine_that_restarted_without_its_tasks_has_lost_them() -> None:
    driver = ControllerDriver(machines=1)
    sent = driver.sent()
    driver.answer(sent, "running")
    driver.up("n0", boot="boot-2", age_ms=5.0)
    driver.snapshot("n0")
    assert driver.state() == ("Lost", "Placed")


@pytest.mark.parametrize(
    ("cause", "state", "reason"),
    [
        ("ended", "Ended", None),
        ("evicted", "Lost", "EVICTED"),
        ("pushed-out", "Lost", "PUSHED_OUT"),
        ("sent-away", "Lost", "SENT_AWAY"),
        ("failed", "Lost", "START_FAILED"),
    ],
)
def test_how_a_placed_task_ends(cause: str, state: str, reason: str | None) -> None:
    driver = ControllerDriver()
    sent = driver.sent()
    driver.answer(sent, "running")
    driver.gone(sent.host, sent.offer.task, cause=cause)
    task = driver.task()
    assert (task["state"], task.get("reason"), task["answer"]) == (state, reason, "Placed")
    driver.advance(6000.0)
    assert driver.machine(sent.host)["status"]["tasks"] == 0


def test_a_task_that_is_hardly_served_is_moved_and_shown_as_lost() -> None:
    driver = ControllerDriver(machines=3)
    sent = driver.sent()
    driver.answer(sent, "running")
    driver.tell(sent.host, wire.Note(sent.offer.task, 0, "service", 0.1))
    assert driver.stops == [(sent.host, sent.offer.task, 0)]
    driver.gone(sent.host, sent.offer.task, cause="stopped")
    assert (driver.task()["state"], driver.task()["reason"]) == ("Lost", "MOVED")


def test_a_stop_is_told_again_until_the_machine_has_heard() -> None:
    driver = ControllerDriver(machines=1)
    sent = driver.sent()
    driver.answer(sent, "running")
    driver.controller.delete(driver.now, ("climate", "a"))
    driver.collect()
    driver.up("n0", resumed=True)
    assert len(driver.stops) == 2
    driver.controller.on_stop_confirmed("n0", sent.offer.task)
    driver.up("n0", resumed=True)
    assert len(driver.stops) == 2


def test_what_the_decisions_log_names_the_machine() -> None:
    driver = ControllerDriver(machines=3)
    for name in "abcd":
        driver.submit(name)
        sent = driver.last_offer()
        driver.clear(sent)
        driver.answer(sent, "error")
    lines = [line for line in driver.of(LogLine) if line.event == "machine ejected"]
    assert lines and all(line.fields["machine"].startswith("n") for line in lines)


# ---- A placer that starts anew ----------------------------------------------------------------------------


def test_a_placer_that_starts_anew_finds_its_tasks() -> None:
    driver = ControllerDriver(machines=2, incarnation="life-2")
    job = wire.JobRef("climate", "a", "uid-old", 3, 5, "tok", {"team": "x"})
    driver.snapshot("n0", report("uid-old-3", life="life-1", job=job, cls="web", attempt=2))
    assert driver.state(index=3) == ("Running", None), "an earlier life may have given another answer"
    assert driver.task(index=3)["found"] and driver.job()["status"]["answered"] == 1
    shown = driver.job()
    assert (shown["metadata"]["uid"], shown["metadata"]["labels"]) == ("uid-old", {"team": "x"})
    assert shown["spec"]["clientToken"] == "tok"
    assert driver.controller.find_by_client_token("climate", "tok") is not None
    driver.gone("n0", "uid-old-3", 2)
    assert driver.state(index=3) == ("Ended", None)
    Job.model_validate(driver.job())


def test_found_tasks_count_for_spread() -> None:
    spread = cluster(classes=(api_class(),))
    driver = ControllerDriver(machines=1, its_cluster=spread, incarnation="life-2")
    driver.snapshot("n0", *(report(f"u-{n}", life="life-1", cls="apart") for n in range(2)))
    driver.submit("b", "apart", service="front")
    driver.advance(500.0)
    assert driver.of(SendOffer) == [], "two of the service are there already"


def api_class() -> TaskClass:
    from helpers import task_class

    return task_class(
        Idempotency.IDEMPOTENT, name="apart", spread_domain=FailureDomain.MACHINE, max_per_domain=2
    )


def test_what_waited_when_the_placer_died_is_stopped_and_ended_ones_are_let_be() -> None:
    driver = ControllerDriver(machines=1, incarnation="life-2")
    driver.snapshot(
        "n0",
        report("u-0", "waiting", life="life-1", cls="web"),
        report("u-1", "ended", life="life-1", cls="web", cause="ended"),
        report("u-2", "running", life="life-2", cls="web"),
    )
    assert driver.stops == [("n0", "u-0", 0), ("n0", "u-2", 0)]
    assert driver.store.count(JOBS) == 0


def test_a_copy_of_work_that_was_asked_for_anew_takes_its_place_or_is_stopped() -> None:
    driver = ControllerDriver(machines=2, incarnation="life-2")
    driver.submit("a", "blend", cores=1000.0)  # waits: nothing was sent
    old = wire.JobRef("climate", "a", "uid-old", 0, 1)
    driver.snapshot("n0", report("uid-old-0", life="life-1", job=old, cls="blend"))
    assert driver.state() == ("Running", None)
    assert driver.of(SendOffer) == [] and driver.controller.open_tasks == 0
    driver.submit("b", "blend")
    older = wire.JobRef("climate", "b", "uid-older", 0, 1)
    driver.snapshot("n1", report("uid-older-0", life="life-1", job=older, cls="blend"))
    assert driver.stops == [("n1", "uid-older-0", 0)]


# ---- All together -----------------------------------------------------------------------------------------


class World(ControllerDriver):
    """Checks after each step what must hold whatever happens."""

    def __init__(self, machines: int) -> None:
        super().__init__(machines)
        self.answers: dict[str, str] = {}
        self.out: dict[str, set[int]] = {}
        self.may_have_run: dict[str, set[int]] = {}

    def check(self) -> None:
        for stored in self.store.objects(JOBS):
            for task in stored.body["status"]["tasks"]:
                answer = task.get("answer")
                if answer is not None:
                    assert self.answers.setdefault(task["uid"], answer) == answer
                assert sum("end" not in attempt for attempt in task["attempts"]) <= 1
                assert len(task["attempts"]) <= 4
                if stored.body["spec"]["class"] == "blend":
                    proven = {"refused", "unreachable"}
                    unproven = [a for a in task["attempts"] if a.get("end") not in proven]
                    assert len(unproven) <= 1, "unsafe: nothing goes out after an attempt that may have run"
                    if answer == "Refused":
                        assert unproven == []


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.data())
def test_whatever_happens_each_task_has_one_answer_in_time(data: st.DataObject) -> None:
    world = World(data.draw(st.integers(1, 5)))
    deadlines: dict[str, float] = {}
    offers: list[SendOffer] = []
    cleared: set[tuple[str, int]] = set()
    for step in range(data.draw(st.integers(5, 40))):
        kind = data.draw(
            st.sampled_from(
                [
                    "submit",
                    "clear",
                    "answer",
                    "answer",
                    "fail",
                    "taken",
                    "gone",
                    "time",
                    "link",
                    "cordon",
                    "boot",
                ]
            )
        )
        offers = world.of(SendOffer)
        sent = data.draw(st.sampled_from(offers)) if offers else None
        host = data.draw(st.sampled_from(sorted(world.seq)))
        if kind == "submit":
            name = f"j{step}"
            cls = data.draw(st.sampled_from(["web", "ingest", "blend"]))
            world.submit(
                name,
                cls,
                patience=data.draw(st.sampled_from(["300ms", "2s"])),
                key=("k" if cls == "ingest" else None),
            )
            deadlines[name] = world.now + (300 if world.job(name)["spec"]["patience"] == "300ms" else 2000)
        elif kind == "clear" and sent is not None:
            if world.clear(sent):
                cleared.add((sent.offer.task, sent.offer.attempt))
        elif kind == "answer" and sent is not None and (sent.offer.task, sent.offer.attempt) in cleared:
            answer = data.draw(st.sampled_from(["running", "accepted", "refused", "error"]))
            reason = data.draw(st.sampled_from(["", "NO_CORES", "QUEUE_FULL", "NOT_HERE"]))
            world.answer(sent, answer, reason if answer == "refused" else "")
        elif kind == "fail" and sent is not None:
            world.fail(sent)
        elif kind == "taken" and sent is not None and (sent.offer.task, sent.offer.attempt) in cleared:
            world.taken(sent.host, sent.offer.task, sent.offer.attempt)
        elif kind == "gone" and sent is not None and (sent.offer.task, sent.offer.attempt) in cleared:
            cause = data.draw(st.sampled_from(["ended", "evicted", "stopped", "sent-away"]))
            world.gone(sent.host, sent.offer.task, sent.offer.attempt, cause)
        elif kind == "time":
            world.advance(
                data.draw(st.sampled_from([1.0, 50.0, 400.0, 2500.0])), beats=data.draw(st.booleans())
            )
        elif kind == "link":
            world.controller.on_link_down(world.now, host)
        elif kind == "cordon":
            world.controller.cordon(world.now, host, unschedulable=data.draw(st.booleans()))
        elif kind == "boot":
            world.up(host, boot=data.draw(st.sampled_from(["boot-1", "boot-2"])), age_ms=5.0)
            world.snapshot(host)
        world.collect()
        world.check()
        for name, deadline in deadlines.items():
            if world.now > deadline + 1:
                assert "answer" in world.task(name), name
    world.advance(20_000.0)
    world.check()
    assert world.controller.open_tasks == 0
    assert all("answer" in world.task(name) for name in deadlines)
