"""What the agent decides without I/O: fates, use, orphans; and what it keeps on disk."""

from __future__ import annotations

import asyncio
import itertools
import os
import sqlite3
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from machines import NodeDriver, offer, request

from kelpfront.agent.evidence import inspect_folder, void_start
from kelpfront.agent.idempotency_records import FileIdempotencyRecords, LocalIdempotencyRecords
from kelpfront.agent.orphans import OrphanDetector
from kelpfront.agent.process import (
    ProcessIdentity,
    ProcessStat,
    identify,
    is_same_running_process,
    parse_stat,
    read_boot_id,
    select_descendants,
)
from kelpfront.agent.recovery import ClaimState, Evidence, RecoveredState, classify, end_cause
from kelpfront.agent.state import AgentState
from kelpfront.agent.state_database import StateDatabase, StateError, write_record
from kelpfront.agent.state_records import TaskEnd, TaskKey, TaskRecord
from kelpfront.agent.task_folder import EXIT, STARTED, folder_name, read_record, write_once
from kelpfront.agent.usage import ProcessSample, TaskSample, UsageSmoother, next_period_ms, sum_by_task
from kelpfront.machine.effects import SupersedeAttempt
from kelpfront.machine.messages import Gone, Hello, OfferRequest, Snapshot, Taken, TaskReport
from kelpfront.machine.model import Phase
from kelpfront.machine.restoration import RestoredTask
from kelpfront.machine.stream_offset import StreamOffset

# ---- Fates ------------------------------------------------------------------------------------------------

CLAIMS: tuple[ClaimState, ...] = ("none", "supervisor", "void", "unreadable")
ALL_EVIDENCE = [
    Evidence(boot, claim, started, running, exit_ran, supervisor, process, damaged)
    for boot, claim, started, running, exit_ran, supervisor, process, damaged in itertools.product(
        (False, True),
        CLAIMS,
        (False, True),
        (False, True),
        (None, False, True),
        (False, True),
        (False, True),
        (False, True),
    )
]


def may_have_run(evidence: Evidence) -> bool:
    """Told apart from the code that is tested: what could have happened on a host, step by step."""
    if evidence.exit_ran is not None:
        return evidence.exit_ran
    if not evidence.same_boot:
        return True  # folders may have lost what was not on disk
    if evidence.claim == "void":
        return False
    return (
        evidence.started
        or evidence.running
        or evidence.damaged
        or evidence.claim == "unreadable"
        or evidence.supervisor_runs
        or evidence.process_runs
    )


def test_what_may_have_run_is_never_told_as_never_run_nor_started_again() -> None:
    for evidence in ALL_EVIDENCE:
        fate = classify(evidence)
        if may_have_run(evidence):
            assert fate not in (RecoveredState.NOT_EXECUTED, RecoveredState.UNCLAIMED), evidence
        if fate is RecoveredState.UNCLAIMED:
            assert evidence.same_boot and evidence.claim == "none" and not evidence.started


def test_a_fate_that_goes_on_needs_something_that_lives() -> None:
    for evidence in ALL_EVIDENCE:
        fate = classify(evidence)
        if fate in (RecoveredState.STARTING, RecoveredState.RUNNING):
            assert evidence.supervisor_runs and evidence.exit_ran is None and evidence.same_boot
        if fate is RecoveredState.UNSUPERVISED:
            assert evidence.process_runs and not evidence.supervisor_runs


@pytest.mark.parametrize(
    ("evidence", "fate"),
    [
        (Evidence(True, "none"), RecoveredState.UNCLAIMED),
        (Evidence(True, "void"), RecoveredState.NOT_EXECUTED),
        (
            Evidence(True, "supervisor"),
            RecoveredState.NOT_EXECUTED,
        ),  # it died before it wrote the process down
        (Evidence(True, "supervisor", supervisor_runs=True), RecoveredState.STARTING),
        (Evidence(True, "supervisor", True, True, None, True, True), RecoveredState.RUNNING),
        (Evidence(True, "supervisor", True, True, None, False, True), RecoveredState.UNSUPERVISED),
        (Evidence(True, "supervisor", True, True), RecoveredState.ENDED_UNOBSERVED),
        (Evidence(True, "supervisor", True, True, True), RecoveredState.ENDED),
        (Evidence(True, "supervisor", True, False, False), RecoveredState.NOT_EXECUTED),
        (Evidence(False, "none"), RecoveredState.ENDED_UNOBSERVED),
        (Evidence(False, "supervisor", True, True, True), RecoveredState.ENDED),
    ],
)
def test_fates_by_example(evidence: Evidence, fate: RecoveredState) -> None:
    assert classify(evidence) is fate


def test_why_a_task_is_over_that_ended_unseen() -> None:
    assert (
        end_cause(None, same_boot=True, exit_known=True) == "ended"
        and end_cause("evicted", same_boot=True, exit_known=False) == "evicted"
    )
    assert end_cause("stopped", same_boot=False, exit_known=False) == "lost", "its host went down"
    assert end_cause("stopped", same_boot=False, exit_known=True) == "stopped", "it had ended before"


# ---- Processes --------------------------------------------------------------------------------------------


def test_a_process_is_known_by_pid_start_and_boot() -> None:
    identity = ProcessIdentity(70, 1000, "a")
    assert is_same_running_process(identity, "a", ProcessStat(70, "S", 1, 70, 1000))
    assert not is_same_running_process(identity, "a", None)
    assert not is_same_running_process(identity, "a", ProcessStat(70, "S", 1, 70, 1001)), (
        "a pid given out again"
    )
    assert not is_same_running_process(identity, "b", ProcessStat(70, "S", 1, 70, 1000)), "another boot"
    assert not is_same_running_process(identity, "a", ProcessStat(70, "Z", 1, 70, 1000)), (
        "ended, not waited for"
    )
    me = identify(os.getpid(), read_boot_id())
    assert me is not None and me.pid == os.getpid()


def test_a_program_named_like_a_stat_line_is_read_right() -> None:
    line = "70 (a) R 1 2 (3) S 5 70 70 0 -1 0 0 0 0 0 1 2 3 4 20 0 1 0 424242 1 1"
    assert parse_stat(70, line) == ProcessStat(70, "S", 5, 70, 424242)


def test_what_is_below_a_process_never_takes_in_the_whole_host() -> None:
    host = [
        ProcessStat(1, "S", 0, 1, 0),
        ProcessStat(2, "S", 0, 0, 0),
        ProcessStat(10, "S", 1, 10, 5),
        ProcessStat(11, "S", 10, 11, 6),
        ProcessStat(12, "S", 11, 11, 7),
        ProcessStat(13, "Z", 11, 11, 8),
        ProcessStat(14, "S", 1, 11, 9),  # forked away: only its session tells
        ProcessStat(15, "S", 14, 15, 9),
        ProcessStat(99, "S", 1, 99, 9),
    ]
    assert sorted(select_descendants(host, 10)) == [11, 12]
    assert sorted(select_descendants(host, None, frozenset({11}))) == [11, 12, 14, 15]
    for root in (None, 0, 1, -1):
        assert select_descendants(host, root) == []


# ---- Use --------------------------------------------------------------------------------------------------


def test_use_is_the_sum_over_the_tree_with_children_that_went() -> None:
    samples = [
        ProcessSample(10, 1, 9.0, 2.0, 100.0),  # the supervisor: its own is not the task's, 2 s it waited for
        ProcessSample(11, 10, 1.0, 0.5, 30.0),
        ProcessSample(12, 11, 0.25, 0.0, 20.0),
        ProcessSample(20, 1, 5.0, 5.0, 500.0),
    ]
    assert sum_by_task(samples, {"t": 10, "gone": 77}) == {"t": TaskSample(3.75, 50.0, 2)}


@given(st.lists(st.tuples(st.floats(1.0, 1e4), st.floats(0.0, 4.0)), min_size=1, max_size=30))
@settings(derandomize=True)
def test_smoothed_cores_stay_between_the_least_and_the_most(steps: list[tuple[float, float]]) -> None:
    smoothing, now, cpu_s = UsageSmoother(1000.0), 0.0, 0.0
    smoothing.add(now, TaskSample(0.0, 1.0, 1))
    most = 0.0
    for ms, cores in steps:
        now, cpu_s, most = now + ms, cpu_s + cores * ms / 1000.0, max(most, cores)
        use = smoothing.add(now, TaskSample(cpu_s, 1.0, 1))
        assert -1e-9 <= use.cores <= most + 1e-6 and use.cpu_s == pytest.approx(cpu_s)


def test_cpu_time_that_seems_to_go_back_and_clocks_that_stand_are_borne() -> None:
    smoothing = UsageSmoother(0.0)
    smoothing.add(1000.0, TaskSample(5.0, 1.0, 1))
    assert smoothing.add(2000.0, TaskSample(4.0, 1.0, 1)).cpu_s == 5.0
    again = smoothing.add(2000.0, TaskSample(7.0, 1.0, 1))
    assert again.cpu_s == 7.0 and again.cores == 0.0


def test_sampling_that_is_dear_is_done_less_often() -> None:
    assert next_period_ms(1000.0, 3.0) == 1000.0
    assert next_period_ms(1000.0, 100.0) == pytest.approx(5000.0)


# ---- Orphans ----------------------------------------------------------------------------------------------


def test_a_placer_is_gone_only_after_all_its_time_in_a_row() -> None:
    orphans = OrphanDetector(1000.0)
    assert orphans.expired_placers(0.0, {"a", "b"}, {"a"}) == []
    assert orphans.expired_placers(900.0, {"a", "b"}, {"a"}) == []
    assert orphans.expired_placers(950.0, {"a", "b"}, {"a", "b"}) == []  # b is back, for an instant
    assert orphans.expired_placers(1500.0, {"a", "b"}, {"a"}) == []
    assert orphans.expired_placers(2500.0, {"a", "b"}, {"a"}) == ["b"]
    assert orphans.expired_placers(2600.0, {"a"}, {"a"}) == []
    assert OrphanDetector(float("inf")).expired_placers(1e18, {"a"}, ()) == []


# ---- The node over restarts -------------------------------------------------------------------------------


def test_a_restored_task_counts_answers_and_is_never_begun() -> None:
    driver = NodeDriver()
    node = driver.node
    node.restore(driver.now, RestoredTask(request("t1", cores=15.0, memory=1.0), Phase.RUNNING, 1e18))
    node.restore(driver.now, RestoredTask(request("t2", cores=1.0), Phase.STOPPING, 0.0, "stopped"))
    assert node.load().free_cores == -5.0  # what is being stopped holds nothing
    answer = driver.offer("t1", cores=15.0, memory=1.0)
    assert answer is not None and answer.answer == "running" and not driver.starts
    refused = driver.offer("t3", cores=6.0)
    assert refused is not None and refused.reason == "NO_CORES"
    assert driver.stop("t1") == "stopping" and [halt.task for halt in driver.stops] == ["t1"]
    node.exited(driver.now, "t2", 143, 1.5)
    told = node.outbox("p0").messages_from(1)
    assert [message.task for message in told] == ["t1", "t2"]


def test_an_unsafe_task_that_ran_here_is_an_error_and_no_refusal() -> None:
    driver = NodeDriver()
    driver.offer("t1", effect="unsafe")
    driver.node.exited(driver.now, "t1", 0)
    answer = driver.offer("t1", 1, effect="unsafe")
    assert answer is not None and (answer.answer, answer.reason) == ("error", "RAN_HERE")
    driver.offer("t2", effect="safe")
    driver.node.exited(driver.now, "t2", 0)
    again = driver.offer("t2", 1, effect="safe")
    assert again is not None and again.answer == "running"


def test_what_a_placer_has_seen_is_not_in_its_next_snapshot() -> None:
    driver = NodeDriver()
    node = driver.node
    seqs = []
    for task in ("t1", "t2"):
        driver.offer(task)
        node.exited(driver.now, task, 0)
        seqs.append(node.outbox("p0").next_seq - 1)
    assert node.acknowledge("p0", seqs[0] + 1) == ["t1"] and node.acknowledge("other", 99) == []
    shown = node.snapshot("p0")
    assert isinstance(shown, Snapshot) and [report.offer.task for report in shown.tasks] == ["t2"]


def test_a_stream_is_taken_up_only_behind_what_was_read() -> None:
    position = StreamOffset()
    assert position.resume is None
    assert position.accept(Hello("b1", 0.0, "small", 500.0, False, 7))
    assert position.resume is None, "its snapshot is not here yet"
    assert position.accept(Snapshot(6, ()))
    assert position.resume == ("b1", 7)
    assert position.accept(Taken(7, "t", 0, True)) and not position.accept(Taken(7, "t", 0, True))
    assert position.resume == ("b1", 8)
    with pytest.raises(ValueError, match="message 10 came where 8"):
        position.accept(Gone(10, "t", 0, "ended", True))
    assert position.accept(Hello("b1", 0.0, "small", 500.0, True, 8)) and position.resume == ("b1", 8)
    assert position.accept(Hello("b2", 0.0, "small", 500.0, False, 1)) and position.resume is None


def test_a_later_attempt_takes_a_copy_over_only_once_that_is_noted() -> None:
    driver = NodeDriver()
    driver.offer("t1")
    node = driver.node
    node.offer(driver.now, request("t1", 1))
    effects = node.pop_effects()
    assert [type(effect) for effect in effects] == [SupersedeAttempt]
    node.attempt_superseded(driver.now, "t1", 0)
    assert not node.pop_effects()
    node.attempt_superseded(driver.now, "t1", 1)
    driver.run()
    assert driver.answers["t1", 1].answer == "running" and len(driver.starts) == 1


def test_tasks_of_a_placer_that_is_gone_are_given_up_whatever_they_do() -> None:
    driver = NodeDriver(starts_at_once=False, max_parallel_starts=1)
    driver.offer("starts", placer="x")
    node = driver.node
    node.offer(driver.now, OfferRequest("x", "life", offer("waits")))
    driver.run()
    node.offer(driver.now, OfferRequest("p1", "life", offer("stays")))
    driver.run()
    assert node.stop_tasks_of(driver.now, "p0", "lost") + node.stop_tasks_of(driver.now, "x", "lost") == 2
    driver.run()
    assert set(node.tasks) == {"stays"}


# ---- Folders ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("uid", ["", ".", "..", "../x", "a/b", "a\0b", ".hidden", "x" * 201, "a b", "é"])
def test_uids_that_are_no_names_of_files_are_refused(uid: str) -> None:
    with pytest.raises(ValueError, match="not a task's uid"):
        folder_name(uid, 0)


def test_a_record_is_written_once_and_the_other_sees_it(tmp_path: Path) -> None:
    assert write_once(tmp_path, STARTED, {"pid": 1})
    assert not write_once(tmp_path, STARTED, {"pid": 2})
    assert read_record(tmp_path, STARTED) == {"pid": 1}
    assert [path.name for path in tmp_path.iterdir()] == ["started.json"]


def test_only_one_of_agent_and_supervisor_has_a_start(tmp_path: Path) -> None:
    folder = tmp_path / "t@0"
    assert classify(inspect_folder(folder, "b", "b").evidence) is RecoveredState.UNCLAIMED
    assert void_start(folder)
    assert not write_once(folder, "claim", {"by": "supervisor", "pid": 1, "ticks": 1, "boot": "b"})
    assert classify(inspect_folder(folder, "b", "b").evidence) is RecoveredState.NOT_EXECUTED


def test_records_that_cannot_be_read_are_taken_for_what_they_may_have_said(tmp_path: Path) -> None:
    folder = tmp_path / "t@0"
    write_once(folder.parent, "x", {})
    folder.mkdir()
    write_once(folder, "claim", {"by": "supervisor", "pid": 2**22 + 1, "ticks": 1, "boot": "b"})
    (folder / f"{EXIT}.json").write_text('{"ran": tr')
    assert classify(inspect_folder(folder, "b", "b").evidence) is RecoveredState.ENDED_UNOBSERVED
    (folder / "claim.json").write_text("[]")
    assert inspect_folder(folder, "b", "b").evidence.claim == "unreadable"


# ---- Copies -----------------------------------------------------------------------------------------------


def test_one_copy_of_a_key_stands_among_agents(tmp_path: Path) -> None:
    one, two = FileIdempotencyRecords(tmp_path), FileIdempotencyRecords(tmp_path)
    assert one.claim("hall", "k", "n1", "t1") is None
    assert one.claim("hall", "k", "n1", "t1") is None, "its own"
    assert two.claim("hall", "k", "n2", "t9") == ("n1", "t1") == two.holder("hall", "k")
    assert two.claim("attic", "k", "n2", "t9") is None
    two.remove("hall", "k", "n2", "t9")
    assert two.holder("hall", "k") == ("n1", "t1"), "not its own to remove"
    one.remove_machine("n1", frozenset({"t1"}))
    assert two.holder("hall", "k") == ("n1", "t1")
    one.remove_machine("n1")
    assert two.holder("hall", "k") is None and two.holder("attic", "k") == ("n2", "t9")


def test_a_key_whose_entry_cannot_be_read_is_held_by_somebody(tmp_path: Path) -> None:
    copies = FileIdempotencyRecords(tmp_path)
    copies.claim("hall", "k", "n1", "t1")
    next(tmp_path.glob("*.copy")).write_text("{")
    assert copies.claim("hall", "k", "n2", "t2") is not None


def test_without_a_shared_folder_only_the_machine_itself_is_a_group() -> None:
    copies = LocalIdempotencyRecords("hall/rack/n1")
    assert copies.claim("hall", "k", "n1", "t1") is not None and copies.holder("hall", "k") is not None
    assert copies.claim("hall/rack/n1", "k", "n1", "t1") is None
    assert copies.claim("hall/rack/n1", "k", "n1", "t2") == ("n1", "t1")
    copies.remove("hall/rack/n1", "k", "n1", "t1")
    assert copies.holder("hall/rack/n1", "k") is None


# ---- State ------------------------------------------------------------------------------------------------


def recorded(task: str, **changes: object) -> TaskRecord:
    return TaskRecord(OfferRequest("p0", "life", offer(task)), "boot", 1.0, 0, **changes)  # type: ignore[arg-type]


async def test_what_is_written_is_read_again_and_writes_share_a_transaction(tmp_path: Path) -> None:
    state = AgentState(tmp_path)
    assert state.open().records == []
    state.start()
    await asyncio.gather(*(state.record_intent(recorded(f"t{n}")) for n in range(200)))
    ended = recorded("t0", end=TaskEnd("ended", True, 7, 1.5), end_seq=9)
    await state.record_end(ended)
    await state.record_acknowledged([TaskKey("t0", 0)])
    await state.delete([TaskKey("t1", 0)])
    await state.set_metadata("seq", "5")
    assert state.writes == 204 and state.transactions < 60
    await state.close()
    found = AgentState(tmp_path).open()
    by_task = {record.key.task: record for record in found.records}
    assert len(by_task) == 199 and found.metadata["seq"] == "5"
    ended.end_acknowledged = True
    assert by_task["t0"] == ended
    report = by_task["t0"].report()
    assert isinstance(report, TaskReport) and (report.exit_code, report.cpu_s) == (7, 1.5)


async def test_a_write_that_fails_says_so_and_others_of_its_batch_are_made(tmp_path: Path) -> None:
    state = AgentState(tmp_path, 64 << 10)
    state.open()
    state.start()
    writes = [state.record_intent(recorded(f"t{n}")) for n in range(2000)]
    outcomes = await asyncio.gather(*writes, return_exceptions=True)
    failed = [outcome for outcome in outcomes if isinstance(outcome, StateError)]
    assert failed and "full" in str(failed[0])
    kept = {f"t{n}" for n, outcome in enumerate(outcomes) if outcome is None}
    await state.close()
    assert {record.key.task for record in AgentState(tmp_path).open().records} == kept and kept


def test_rows_that_are_readable_are_taken_over_from_a_damaged_state(tmp_path: Path) -> None:
    db = sqlite3.connect(tmp_path / "state.db")
    database = StateDatabase(tmp_path)
    database.open()
    database.close()
    db.close()
    db = sqlite3.connect(tmp_path / "state.db")
    for number in range(2000):
        write_record(db, recorded(f"t{number:04}"))
    db.commit()
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    db.close()
    path = tmp_path / "state.db"
    data = bytearray(path.read_bytes())
    place = len(data) * 9 // 10 // 4096 * 4096
    data[place : place + 4096] = bytes(4096)
    path.write_bytes(data)
    opened = AgentState(tmp_path).open()
    assert opened.quarantine is not None and opened.damage
    assert 100 < len(opened.records) < 2000
    assert (opened.quarantine / "state.db").read_bytes() == bytes(data)
