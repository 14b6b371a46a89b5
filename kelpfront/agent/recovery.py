"""What became of a task while the agent was away. Pure: evidence in, one verdict out.

The agent's state says what was intended; the task's folder says what its supervisor did; the host says what
lives. Each may be missing. Where they leave it open whether a task ran, it may have run: it is never started
again, and never told as one that did not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Literal


class Fate(Enum):
    """What a task is, as an agent that starts finds it."""

    STARTING = "starting"  # its supervisor lives and has not said that it runs
    RUNNING = "running"
    UNWATCHED = "unwatched"  # it runs, its supervisor does not: another is to take over
    ENDED = "ended"  # its exit is on record
    ENDED_UNSEEN = "ended-unseen"  # it may have run and is over; how it ended is not known
    NEVER_RAN = "never-ran"
    UNCLAIMED = "unclaimed"  # nobody has begun to start it: to be voided, then judged again


Claim = Literal["none", "supervisor", "void", "unreadable"]


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of one attempt.

    `same_boot`: whether the host has been up since the intent was made. `claim` to `exit_ran` are of its
    folder; `exit_ran` is None where no exit is on record. `damaged`: a record of it could not be read.
    """

    same_boot: bool
    claim: Claim
    started: bool = False
    running: bool = False
    exit_ran: bool | None = None
    supervisor_alive: bool = False
    process_alive: bool = False
    damaged: bool = False


def cause_of(stopped_for: str | None, same_boot: bool, exit_known: bool) -> str:
    """Why a task is over that ended while the agent was away: by itself, stopped for a reason, or lost.

    A host that came up anew has lost what had not ended before; whatever it was to be stopped for.
    """
    if not (same_boot or exit_known):
        return "lost"
    return stopped_for or "ended"


def judge(evidence: Evidence) -> Fate:
    """The fate of one attempt.

    - An exit on record is believed, whatever else there is: it is written last, and whole.
    - After another boot nothing of before runs. Folders are not forced to disk, so a claim that is missing
      then proves nothing.
    - A process is released only after its `started` record is there. Where the supervisor died before that,
      it never ran.
    - Where nobody has claimed the start, whoever writes the claim decides; the agent voids it first.
    - A record that cannot be read might have said anything: what it may have said is assumed.
    """
    if evidence.exit_ran is not None:
        return Fate.ENDED if evidence.exit_ran else Fate.NEVER_RAN
    if not evidence.same_boot:
        return Fate.ENDED_UNSEEN
    if evidence.claim == "void":
        return Fate.NEVER_RAN
    if evidence.supervisor_alive:
        return Fate.RUNNING if evidence.running else Fate.STARTING
    if evidence.process_alive:
        return Fate.UNWATCHED
    if evidence.started or evidence.running or evidence.damaged or evidence.claim == "unreadable":
        return Fate.ENDED_UNSEEN
    return Fate.UNCLAIMED if evidence.claim == "none" else Fate.NEVER_RAN
