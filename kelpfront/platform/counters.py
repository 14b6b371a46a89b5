"""What one placer has counted since its start, for the periodic log line. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, fields

from kelpfront.scheduling.events import AttemptOutcome


@dataclass(slots=True)
class Counters:
    """Counts since the start.

    Attributes:
        requests: valid placement requests, those rejected at once included.
        invalid_requests: placement requests that the protocol does not allow.
        adopted_tasks: tasks of a former incarnation that clients handed over.
        attempts: offers that the scheduler asked for.
        accepted: offers that machines accepted.
        rejected: final answers after which a retry is harmless.
        failed: final answers after which the task may have been executed.
        withdrawn: requests that clients gave up.
        clients_left_before_send: requests whose client was found to have left, or to have given up, by what
            had arrived and was not read yet.
        migrations: running tasks that were stopped so that their client submits them again.
        tasks_lost: running tasks that were over with their machine.
        health_checks: health checks that were sent.
        placed_without_client: acceptances that could not be delivered; the task was ended.
        endpoint_list_gaps: times that events were found to be missing.
        unreadable_lines: client connections closed for a line that is no message.
        unexpected_accepts, unexpected_ends, unexpected_status_reports: machines' messages that belong to no
            attempt in flight there.
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
    attempt_outcomes: Counter[AttemptOutcome] = field(default_factory=Counter)
    task_outcomes: Counter[AttemptOutcome] = field(default_factory=Counter)

    def log_fields(self) -> dict[str, int]:
        """Return the counts that are not zero, flat, as fields of a log line."""
        found: dict[str, int] = {}
        for item in fields(self):
            value = getattr(self, item.name)
            if isinstance(value, int) and value:
                found[item.name] = value
        found |= {f"attempts_{_name(outcome)}": count for outcome, count in self.attempt_outcomes.items()}
        found |= {f"tasks_{_name(outcome)}": count for outcome, count in self.task_outcomes.items()}
        return found


def _name(outcome: AttemptOutcome) -> str:
    return outcome.name.lower()
