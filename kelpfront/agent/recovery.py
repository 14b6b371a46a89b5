"""Classifies what happened to a task while the agent did not run. Pure: evidence in, one state out.

The agent's state records what was intended, the task's folder what its supervisor did, and the host's process
table what runs. Each source may be missing. If they do not show whether a task ran, it is assumed that it may
have run: it is never started again, and never reported as not having run. `evidence` collects the evidence;
`supervision` and `adoption` act on the result.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Literal

from kelpfront.machine.messages import GoneCause


class RecoveredState(Enum):
    """The state in which a task is found. The values appear in the agent's status and log."""

    STARTING = "starting"
    """Its supervisor runs, and has not yet recorded that the program is loaded."""
    RUNNING = "running"
    UNSUPERVISED = "unwatched"
    """Its process runs and its supervisor has died: the supervisor has to be replaced."""
    ENDED = "ended"
    """Its exit is recorded."""
    ENDED_UNOBSERVED = "ended-unseen"
    """It may have run and has ended; how it ended is unknown."""
    NOT_EXECUTED = "never-ran"
    UNCLAIMED = "unclaimed"
    """No supervisor has claimed its start: the start has to be voided, and the task classified again."""


ClaimState = Literal["none", "supervisor", "void", "unreadable"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """The evidence about one attempt of a task.

    Attributes:
        same_boot: whether the host has not rebooted since the intent was recorded.
        claim: who has claimed the start, according to the folder.
        started: whether the folder has the identity of the first process.
        running: whether the folder records that the program was loaded.
        exit_ran: whether the task ran, according to its exit record; None if there is no exit record.
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
    """Return the cause of a task's end while the agent did not run: a regular end, a stop, or a lost host.

    A reboot of the host loses every task that had not ended before, also one that was requested to stop.
    """
    if not (same_boot or exit_known):
        return "lost"
    return stop_cause or "ended"


def classify(evidence: Evidence) -> RecoveredState:
    """Return the state of one attempt of a task.

    - An exit record is conclusive, whatever the other evidence is: it is written last, and atomically.
    - After a reboot no earlier process runs. Folders are not synced to disk, so a missing claim is then no
      evidence.
    - A process is released only after its `started` record was written. If the supervisor died before that,
      the program never ran.
    - If the start is unclaimed, the first writer of the claim decides; the agent tries to void the start.
    - For a record that cannot be read, the content that allows the task to have run is assumed.
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
    """Classify an attempt from the current boot whose supervisor and process do not run."""
    may_have_started = evidence.damaged or evidence.claim == "unreadable"
    if evidence.started or evidence.running or may_have_started:
        return RecoveredState.ENDED_UNOBSERVED
    if evidence.claim == "none":
        return RecoveredState.UNCLAIMED
    return RecoveredState.NOT_EXECUTED
