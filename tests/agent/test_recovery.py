"""Classification of a task after an agent restart, for every combination of evidence."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from kelpfront.agent.recovery import ClaimState, Evidence, RecoveredState, classify, end_cause

CLAIMS: tuple[ClaimState, ...] = ("none", "supervisor", "void", "unreadable")
ALL_EVIDENCE = [
    Evidence(
        same_boot=same_boot,
        claim=claim,
        started=started,
        running=running,
        exit_ran=exit_ran,
        supervisor_runs=supervisor_runs,
        process_runs=process_runs,
        damaged=damaged,
    )
    for (
        same_boot,
        claim,
        started,
        running,
        exit_ran,
        supervisor_runs,
        process_runs,
        damaged,
    ) in itertools.product(
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
    """Return whether the task may have run, independently of the code under test."""
    if evidence.exit_ran is not None:
        return evidence.exit_ran
    if not evidence.same_boot:
        return True  # records that were not synced to disk may be lost
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


def test_a_task_that_may_have_run_is_never_classified_as_not_executed_or_unclaimed() -> None:
    for evidence in ALL_EVIDENCE:
        state = classify(evidence)
        if may_have_run(evidence):
            assert state not in (RecoveredState.NOT_EXECUTED, RecoveredState.UNCLAIMED), evidence
        if state is RecoveredState.UNCLAIMED:
            assert evidence.same_boot
            assert evidence.claim == "none"
            assert not evidence.started


def test_an_active_state_requires_a_running_process() -> None:
    for evidence in ALL_EVIDENCE:
        state = classify(evidence)
        if state in (RecoveredState.STARTING, RecoveredState.RUNNING):
            assert evidence.supervisor_runs
            assert evidence.exit_ran is None
            assert evidence.same_boot
        if state is RecoveredState.UNSUPERVISED:
            assert evidence.process_runs
            assert not evidence.supervisor_runs


CLAIMED = Evidence(same_boot=True, claim="supervisor")
STARTED = replace(CLAIMED, started=True)
RUNNING = replace(STARTED, running=True)
SUPERVISED = replace(RUNNING, supervisor_runs=True, process_runs=True)
EXITED = replace(RUNNING, exit_ran=True)


@pytest.mark.parametrize(
    ("evidence", "state"),
    [
        (replace(CLAIMED, claim="none"), RecoveredState.UNCLAIMED),
        (replace(CLAIMED, claim="void"), RecoveredState.NOT_EXECUTED),
        (CLAIMED, RecoveredState.NOT_EXECUTED),  # the supervisor died before the process was recorded
        (replace(CLAIMED, supervisor_runs=True), RecoveredState.STARTING),
        (SUPERVISED, RecoveredState.RUNNING),
        (replace(SUPERVISED, supervisor_runs=False), RecoveredState.UNSUPERVISED),
        (RUNNING, RecoveredState.ENDED_UNOBSERVED),
        (EXITED, RecoveredState.ENDED),
        (replace(STARTED, exit_ran=False), RecoveredState.NOT_EXECUTED),
        (replace(CLAIMED, claim="none", same_boot=False), RecoveredState.ENDED_UNOBSERVED),
        (replace(EXITED, same_boot=False), RecoveredState.ENDED),
    ],
)
def test_evidence_is_classified(evidence: Evidence, state: RecoveredState) -> None:
    assert classify(evidence) is state


def test_cause_of_an_end_while_the_agent_was_down() -> None:
    assert end_cause(None, same_boot=True, exit_known=True) == "ended"
    assert end_cause("evicted", same_boot=True, exit_known=False) == "evicted"
    assert end_cause("stopped", same_boot=False, exit_known=False) == "lost", "the host rebooted"
    assert end_cause("stopped", same_boot=False, exit_known=True) == "stopped", "it ended before the reboot"
