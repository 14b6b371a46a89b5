"""Classifies what became of a task while the agent was away. Pure: evidence in, one state out.

The agent's state says what was intended, the task's folder what its supervisor did, and the host what runs.
Each may be missing. Where they leave it open whether a task ran, it may have run: it is never started again,
and never reported as one that did not run. Gathering the evidence is left to `evidence`, acting on the
result to `supervision` and `adoption`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Literal

from kelpfront.machine.messages import GoneCause


class RecoveredState(Enum):
    """What a task is found to be. The values are those of the agent's status and log."""

    STARTING = "starting"
    """Its supervisor runs and has not recorded that the program is loaded."""
    RUNNING = "running"
    UNSUPERVISED = "unwatched"
    """It runs and its supervisor does not: another is to replace that."""
    ENDED = "ended"
    """Its exit is on record."""
    ENDED_UNOBSERVED = "ended-unseen"
    """It may have run and is over; how it ended is not known."""
    NOT_EXECUTED = "never-ran"
    UNCLAIMED = "unclaimed"
    """Nobody has begun to start it: its start is to be voided, then it is classified again."""


ClaimState = Literal["none", "supervisor", "void", "unreadable"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What is known of one attempt of a task.

    Attributes:
        same_boot: whether the host has been up since the intent was recorded.
        claim: who has claimed the start, by the folder.
        started: whether the folder has the identity of a process.
        running: whether the folder records that the program was loaded.
        exit_ran: whether the task ran, by the exit on record; None where none is.
        supervisor_runs: whether the last supervisor runs.
        process_runs: whether the first process runs.
        damaged: whether a record could not be read.
    """

    same_boot: bool
    claim: ClaimState
    started: bool = False
    running: bool = False
    exit_ran: bool | None = None
    supervisor_runs: bool = False
    process_runs: bool = False
    damaged: bool = False


def end_cause(stop_cause: GoneCause | None, *, same_boot: bool, exit_known: bool) -> GoneCause:
    """Return why a task is over that ended while the agent was away: by itself, stopped, or lost.

    A host that was booted again has lost what had not ended before, whatever it was to be stopped for.
    """
    if not (same_boot or exit_known):
        return "lost"
    return stop_cause or "ended"


def classify(evidence: Evidence) -> RecoveredState:
    """Return what one attempt of a task is.

    - An exit on record is believed, whatever else there is: it is written last, and complete.
    - After another boot nothing of before runs. Folders are not forced to disk, so a claim that is missing
      then proves nothing.
    - A process is released only after its `started` record is there. Where the supervisor died before that,
      it never ran.
    - Where nobody has claimed the start, whoever writes the claim decides; the agent voids it first.
    - A record that cannot be read might have said anything: what it may have said is assumed.
    """
    if evidence.exit_ran is not None:
        return RecoveredState.ENDED if evidence.exit_ran else RecoveredState.NOT_EXECUTED
    if not evidence.same_boot:
        return RecoveredState.ENDED_UNOBSERVED
    if evidence.claim == "void":
        return RecoveredState.NOT_EXECUTED
    if evidence.supervisor_runs:
        return RecoveredState.RUNNING if evidence.running else RecoveredState.STARTING
    if evidence.process_runs:
        return RecoveredState.UNSUPERVISED
    return _classify_without_processes(evidence)


def _classify_without_processes(evidence: Evidence) -> RecoveredState:
    """Classify an attempt of this boot of which neither a supervisor nor a process runs."""
    may_be_recorded = evidence.damaged or evidence.claim == "unreadable"
    if evidence.started or evidence.running or may_be_recorded:
        return RecoveredState.ENDED_UNOBSERVED
    if evidence.claim == "none":
        return RecoveredState.UNCLAIMED
    return RecoveredState.NOT_EXECUTED
