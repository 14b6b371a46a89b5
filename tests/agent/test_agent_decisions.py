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

from kelpfront.agent.copies import FileCopies, NoCopies
from kelpfront.agent.evidence import look, void_start
from kelpfront.agent.folders import EXIT, STARTED, folder_name, read, write_once
from kelpfront.agent.orphans import Orphans
from kelpfront.agent.process import Identity, Stat, below, boot_id, identify, is_alive, parse_stat
from kelpfront.agent.recovery import Claim, Evidence, Fate, cause_of, judge
from kelpfront.agent.state import End, Recorded, State, StateError
from kelpfront.agent.usage import ProcessSample, Smoothing, TreeSample, next_period_ms, trees
from kelpfront.machine.effects import SupersedeAttempt
from kelpfront.machine.messages import Gone, Hello, OfferRequest, Snapshot, Taken, TaskReport
from kelpfront.machine.model import Phase
from kelpfront.machine.restoration import RestoredTask
from kelpfront.machine.stream_offset import StreamOffset

# ---- Fates ------------------------------------------------------------------------------------------------

CLAIMS: tuple[Claim, ...] = ("none", "supervisor", "void", "unreadable")
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
        or evidence.supervisor_alive
        or evidence.process_alive
    )


def test_what_may_have_run_is_never_told_as_never_run_nor_started_again() -> None:
    for evidence in ALL_EVIDENCE:
        fate = judge(evidence)
        if may_have_run(evidence):
            assert fate not in (Fate.NEVER_RAN, Fate.UNCLAIMED), evidence
        if fate is Fate.UNCLAIMED:
            assert evidence.same_boot and evidence.claim == "none" and not evidence.started


def test_a_fate_that_goes_on_needs_something_that_lives() -> None:
    for evidence in ALL_EVIDENCE:
        fate = judge(evidence)
        if fate in (Fate.STARTING, Fate.RUNNING):
            assert evidence.supervisor_alive and evidence.exit_ran is None and evidence.same_boot
        if fate is Fate.UNWATCHED:
            assert evidence.process_alive and not evidence.supervisor_alive


@pytest.mark.parametrize(
    ("evidence", "fate"),
    [
        (Evidence(True, "none"), Fate.UNCLAIMED),
        (Evidence(True, "void"), Fate.NEVER_RAN),
        (Evidence(True, "supervisor"), Fate.NEVER_RAN),  # it died before it wrote the process down
        (Evidence(True, "supervisor", supervisor_alive=True), Fate.STARTING),
        (Evidence(True, "supervisor", True, True, None, True, True), Fate.RUNNING),
        (Evidence(True, "supervisor", True, True, None, False, True), Fate.UNWATCHED),
        (Evidence(True, "supervisor", True, True), Fate.ENDED_UNSEEN),
        (Evidence(True, "supervisor", True, True, True), Fate.ENDED),
        (Evidence(True, "supervisor", True, False, False), Fate.NEVER_RAN),
        (Evidence(False, "none"), Fate.ENDED_UNSEEN),
        (Evidence(False, "supervisor", True, True, True), Fate.ENDED),
    ],
)
def test_fates_by_example(evidence: Evidence, fate: Fate) -> None:
    assert judge(evidence) is fate


def test_why_a_task_is_over_that_ended_unseen() -> None:
    assert cause_of(None, True, True) == "ended" and cause_of("evicted", True, False) == "evicted"
    assert cause_of("stopped", False, False) == "lost", "its host went down"
    assert cause_of("stopped", False, True) == "stopped", "it had ended before"


# ---- Processes --------------------------------------------------------------------------------------------


def test_a_process_is_known_by_pid_start_and_boot() -> None:
    identity = Identity(70, 1000, "a")
    assert is_alive(identity, "a", Stat(70, "S", 1, 70, 1000))
    assert not is_alive(identity, "a", None)
    assert not is_alive(identity, "a", Stat(70, "S", 1, 70, 1001)), "a pid given out again"
    assert not is_alive(identity, "b", Stat(70, "S", 1, 70, 1000)), "another boot"
    assert not is_alive(identity, "a", Stat(70, "Z", 1, 70, 1000)), "ended, not waited for"
    me = identify(os.getpid(), boot_id())
    assert me is not None and me.pid == os.getpid()


def test_a_program_named_like_a_stat_line_is_read_right() -> None:
    line = "70 (a) R 1 2 (3) S 5 70 70 0 -1 0 0 0 0 0 1 2 3 4 20 0 1 0 424242 1 1"
    assert parse_stat(70, line) == Stat(70, "S", 5, 70, 424242)


def test_what_is_below_a_process_never_takes_in_the_whole_host() -> None:
    host = [
        Stat(1, "S", 0, 1, 0),
        Stat(2, "S", 0, 0, 0),
        Stat(10, "S", 1, 10, 5),
        Stat(11, "S", 10, 11, 6),
        Stat(12, "S", 11, 11, 7),
        Stat(13, "Z", 11, 11, 8),
        Stat(14, "S", 1, 11, 9),  # forked away: only its session tells
        Stat(15, "S", 14, 15, 9),
        Stat(99, "S", 1, 99, 9),
    ]
    assert sorted(below(host, 10)) == [11, 12]
    assert sorted(below(host, None, frozenset({11}))) == [11, 12, 14, 15]
    for root in (None, 0, 1, -1):
        assert below(host, root) == []


# ---- Use --------------------------------------------------------------------------------------------------


def test_use_is_the_sum_over_the_tree_with_children_that_went() -> None:
    samples = [
        ProcessSample(10, 1, 9.0, 2.0, 100.0),  # the supervisor: its own is not the task's, 2 s it waited for
        ProcessSample(11, 10, 1.0, 0.5, 30.0),
        ProcessSample(12, 11, 0.25, 0.0, 20.0),
        ProcessSample(20, 1, 5.0, 5.0, 500.0),
    ]
    assert trees(samples, {"t": 10, "gone": 77}) == {"t": TreeSample(3.75, 50.0, 2)}


@given(st.lists(st.tuples(st.floats(1.0, 1e4), st.floats(0.0, 4.0)), min_size=1, max_size=30))
@settings(derandomize=True)
def test_smoothed_cores_stay_between_the_least_and_the_most(steps: list[tuple[float, float]]) -> None:
    smoothing, now, cpu_s = Smoothing(1000.0), 0.0, 0.0
    smoothing.take(now, TreeSample(0.0, 1.0, 1))
    most = 0.0
    for ms, cores in steps:
        now, cpu_s, most = now + ms, cpu_s + cores * ms / 1000.0, max(most, cores)
        use = smoothing.take(now, TreeSample(cpu_s, 1.0, 1))
        assert -1e-9 <= use.cores <= most + 1e-6 and use.cpu_s == pytest.approx(cpu_s)


def test_cpu_time_that_seems_to_go_back_and_clocks_that_stand_are_borne() -> None:
    smoothing = Smoothing(0.0)
    smoothing.take(1000.0, TreeSample(5.0, 1.0, 1))
    assert smoothing.take(2000.0, TreeSample(4.0, 1.0, 1)).cpu_s == 5.0
    again = smoothing.take(2000.0, TreeSample(7.0, 1.0, 1))
    assert again.cpu_s == 7.0 and again.cores == 0.0


def test_sampling_that_is_dear_is_done_less_often() -> None:
    assert next_period_ms(1000.0, 3.0) == 1000.0
    assert next_period_ms(1000.0, 100.0) == pytest.approx(5000.0)


# ---- Orphans ----------------------------------------------------------------------------------------------


def test_a_placer_is_gone_only_after_all_its_time_in_a_row() -> None:
    orphans = Orphans(1000.0)
    assert orphans.left(0.0, {"a", "b"}, {"a"}) == []
    assert orphans.left(900.0, {"a", "b"}, {"a"}) == []
    assert orphans.left(950.0, {"a", "b"}, {"a", "b"}) == []  # b is back, for an instant
    assert orphans.left(1500.0, {"a", "b"}, {"a"}) == []
    assert orphans.left(2500.0, {"a", "b"}, {"a"}) == ["b"]
    assert orphans.left(2600.0, {"a"}, {"a"}) == []
    assert Orphans(float("inf")).left(1e18, {"a"}, ()) == []


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
    assert read(tmp_path, STARTED) == {"pid": 1}
    assert [path.name for path in tmp_path.iterdir()] == ["started.json"]


def test_only_one_of_agent_and_supervisor_has_a_start(tmp_path: Path) -> None:
    folder = tmp_path / "t@0"
    assert judge(look(folder, "b", "b").evidence) is Fate.UNCLAIMED
    assert void_start(folder)
    assert not write_once(folder, "claim", {"by": "supervisor", "pid": 1, "ticks": 1, "boot": "b"})
    assert judge(look(folder, "b", "b").evidence) is Fate.NEVER_RAN


def test_records_that_cannot_be_read_are_taken_for_what_they_may_have_said(tmp_path: Path) -> None:
    folder = tmp_path / "t@0"
    write_once(folder.parent, "x", {})
    folder.mkdir()
    write_once(folder, "claim", {"by": "supervisor", "pid": 2**22 + 1, "ticks": 1, "boot": "b"})
    (folder / f"{EXIT}.json").write_text('{"ran": tr')
    assert judge(look(folder, "b", "b").evidence) is Fate.ENDED_UNSEEN
    (folder / "claim.json").write_text("[]")
    assert look(folder, "b", "b").evidence.claim == "unreadable"


# ---- Copies -----------------------------------------------------------------------------------------------


def test_one_copy_of_a_key_stands_among_agents(tmp_path: Path) -> None:
    one, two = FileCopies(tmp_path), FileCopies(tmp_path)
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
    copies = FileCopies(tmp_path)
    copies.claim("hall", "k", "n1", "t1")
    next(tmp_path.glob("*.copy")).write_text("{")
    assert copies.claim("hall", "k", "n2", "t2") is not None


def test_without_a_shared_folder_only_the_machine_itself_is_a_group() -> None:
    copies = NoCopies("hall/rack/n1")
    assert copies.claim("hall", "k", "n1", "t1") is not None and copies.holder("hall", "k") is not None
    assert copies.claim("hall/rack/n1", "k", "n1", "t1") is None
    assert copies.claim("hall/rack/n1", "k", "n1", "t2") == ("n1", "t1")
    copies.remove("hall/rack/n1", "k", "n1", "t1")
    assert copies.holder("hall/rack/n1", "k") is None


# ---- State ------------------------------------------------------------------------------------------------


def recorded(task: str, **changes: object) -> Recorded:
    return Recorded(OfferRequest("p0", "life", offer(task)), "boot", 1.0, 0, **changes)  # type: ignore[arg-type]


async def test_what_is_written_is_read_again_and_writes_share_a_transaction(tmp_path: Path) -> None:
    state = State(tmp_path)
    assert state.open().records == []
    state.start()
    await asyncio.gather(*(state.intend(recorded(f"t{n}")) for n in range(200)))
    ended = recorded("t0", end=End("ended", True, 7, 1.5), seq=9)
    await state.ended(ended)
    await state.heard([("t0", 0)])
    await state.forget([("t1", 0)])
    await state.set_meta("seq", "5")
    assert state.writes == 204 and state.transactions < 60
    await state.close()
    found = State(tmp_path).open()
    by_task = {record.key[0]: record for record in found.records}
    assert len(by_task) == 199 and found.meta["seq"] == "5"
    ended.heard = True
    assert by_task["t0"] == ended
    report = by_task["t0"].report()
    assert isinstance(report, TaskReport) and (report.exit_code, report.cpu_s) == (7, 1.5)


async def test_a_write_that_fails_says_so_and_others_of_its_batch_are_made(tmp_path: Path) -> None:
    state = State(tmp_path, 64 << 10)
    state.open()
    state.start()
    writes = [state.intend(recorded(f"t{n}")) for n in range(2000)]
    outcomes = await asyncio.gather(*writes, return_exceptions=True)
    failed = [outcome for outcome in outcomes if isinstance(outcome, StateError)]
    assert failed and "full" in str(failed[0])
    kept = {f"t{n}" for n, outcome in enumerate(outcomes) if outcome is None}
    await state.close()
    assert {record.key[0] for record in State(tmp_path).open().records} == kept and kept


def test_rows_that_are_readable_are_taken_over_from_a_damaged_state(tmp_path: Path) -> None:
    db = sqlite3.connect(tmp_path / "state.db")
    state = State(tmp_path)
    state.open()
    state._discard()
    db.close()
    db = sqlite3.connect(tmp_path / "state.db")
    from kelpfront.agent.state import _insert

    for number in range(2000):
        _insert(db, recorded(f"t{number:04}"))
    db.commit()
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    db.close()
    path = tmp_path / "state.db"
    data = bytearray(path.read_bytes())
    place = len(data) * 9 // 10 // 4096 * 4096
    data[place : place + 4096] = bytes(4096)
    path.write_bytes(data)
    opened = State(tmp_path).open()
    assert opened.set_aside is not None and opened.damage
    assert 100 < len(opened.records) < 2000
    assert (opened.set_aside / "state.db").read_bytes() == bytes(data)
