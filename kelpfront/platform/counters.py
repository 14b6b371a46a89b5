"""Counters of one placer since its start, for the periodic log line. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, fields

from kelpfront.scheduling.events import AttemptOutcome


@dataclass(slots=True)
class Counters:
    """Counts since the start.

    Attributes:
        requests: valid placement requests, including those that are rejected at once.
        invalid_requests: placement requests that violate the protocol.
        adopted_tasks: running tasks of a previous incarnation that clients handed over.
        attempts: offers that the scheduler requested.
        accepted: offers that machines accepted.
        rejected: final answers after which a retry is harmless.
        failed: final answers after which the task may have been executed.
        withdrawn: requests that clients withdrew.
        clients_left_before_send: requests whose client had disconnected or withdrawn them, according to data
            that had arrived but was not read yet.
        migrations: running tasks that were stopped so that their client submits them again.
        tasks_lost: running tasks that ended because their machine was lost.
        health_checks: health checks that were sent.
        placed_without_client: acceptances that could not be delivered; the task was ended.
        endpoint_list_gaps: how often events of the endpoint list were missing.
        unreadable_lines: client connections closed because a line was not a message.
        unexpected_accepts, unexpected_ends, unexpected_status_reports: messages of machines that match no
            attempt in flight there.
        report_losses: how often reports of running tasks may have been lost with a connection, or an end was
            ambiguous; each is followed by a new connection, on which the machine repeats its reports.
        attempt_outcomes: outcomes of attempts that no machine had accepted.
        task_outcomes: outcomes of attempts that were accepted.
    """

    requests: int = 0
    invalid_requests: int = 0
    adopted_tasks: int = 0
    attempts: int = 0
    accepted: int = 0
    rejected: int = 0
    failed: int = 0
    withdrawn: int = 0
    clients_left_before_send: int = 0
    migrations: int = 0
    tasks_lost: int = 0
    health_checks: int = 0
    placed_without_client: int = 0
    endpoint_list_gaps: int = 0
    unreadable_lines: int = 0
    unexpected_accepts: int = 0
    unexpected_ends: int = 0
    unexpected_status_reports: int = 0
    report_losses: int = 0
    attempt_outcomes: Counter[AttemptOutcome] = field(default_factory=Counter)
    task_outcomes: Counter[AttemptOutcome] = field(default_factory=Counter)

    def log_fields(self) -> dict[str, int]:
        """Return all nonzero counts as fields of a log line."""
        counts: dict[str, int] = {}
        for counter in fields(self):
            value = getattr(self, counter.name)
            if isinstance(value, int) and value:
                counts[counter.name] = value
        counts |= {
            f"attempts_{_outcome_name(outcome)}": count for outcome, count in self.attempt_outcomes.items()
        }
        counts |= {f"tasks_{_outcome_name(outcome)}": count for outcome, count in self.task_outcomes.items()}
        return counts


def _outcome_name(outcome: AttemptOutcome) -> str:
    return outcome.name.lower()
