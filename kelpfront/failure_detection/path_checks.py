"""Detects failures that failure detectors cannot see: machines that only this placer cannot reach.

The placer health-checks some machines itself, regardless of the reports of detectors: in rotation those that
run its tasks, those that are suspected, and all machines of a zone in which a suspicion was confirmed. This
module only selects the machines. The scheduler makes the checks and declares machines as lost.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from kelpfront.failure_detection.counters import ViewCounters
from kelpfront.failure_detection.log_events import LogEvent, MachineUnreachableFromHere, ReachabilityRestored
from kelpfront.failure_detection.membership import Membership
from kelpfront.scheduling.events import LivenessObserved, MachineId

PATH_CHECK_INTERVAL_MS = 1_000.0  # between two checks in the rotation, of one machine each
SUSPICION_THRESHOLD = 2  # consecutive missed checks; a single one may be a lost message
SUSPICION_TIMEOUT_MS = 6_000.0  # observations arrive some seconds late, and a later one may clear the machine
ZONE_CHECK_INTERVAL_MS = 10_000.0  # between two checks of all machines of a zone
RECHECK_INTERVAL_MS = 5_000.0  # between two checks of a machine that only detectors reach, or that restarted
OBSERVATION_TTL_MS = 4_000.0  # an older observation by detectors is no evidence that a machine is alive


def request_checks(machines: tuple[MachineId, ...]) -> LivenessObserved:
    """Return an event that makes the scheduler check machines and carries no observation."""
    return LivenessObserved(machines, -math.inf, check_anyway=True)


class PathChecks:
    """Selects the machines whose paths from this placer are to be checked, for one incarnation of it."""

    def __init__(
        self,
        membership: Membership,
        last_observed_at: Callable[[MachineId], float],
        counters: ViewCounters,
        log_events: list[LogEvent],
    ) -> None:
        self._membership = membership
        self._last_observed_at = last_observed_at
        self._counters = counters
        self._log_events = log_events
        self._consecutive_missed: dict[MachineId, int] = {}
        self._suspected_since: dict[MachineId, float] = {}  # machines that are lost, or unreachable from here
        self._recheck_at: dict[MachineId, float] = {}  # reached by detectors only
        self._zone_checked_at: dict[int, float] = {}
        self._position = 0  # of the rotation through all machines

    def forget_removed(self) -> None:
        """Discard the state of machines that are no longer members."""
        states_by_machine: tuple[dict[MachineId, int] | dict[MachineId, float], ...] = (
            self._consecutive_missed,
            self._suspected_since,
            self._recheck_at,
        )
        for state_by_machine in states_by_machine:
            for machine in [machine for machine in state_by_machine if machine not in self._membership]:
                del state_by_machine[machine]

    def record_health_check(self, now: float, machine: MachineId, *, missed: bool) -> None:
        """Apply the result of one of the placer's own health checks."""
        if not missed:
            self._record_answer(machine)
        elif machine in self._membership:
            self._record_miss(now, machine)

    def _record_answer(self, machine: MachineId) -> None:
        self._consecutive_missed.pop(machine, None)
        self._suspected_since.pop(machine, None)
        was_unreachable = self._recheck_at.pop(machine, None) is not None
        if was_unreachable and not self._recheck_at:
            self._log_events.append(ReachabilityRestored())

    def _record_miss(self, now: float, machine: MachineId) -> None:
        missed = self._consecutive_missed.get(machine, 0) + 1
        self._consecutive_missed[machine] = missed
        if missed >= SUSPICION_THRESHOLD and machine not in self._recheck_at:
            self._suspected_since.setdefault(machine, now)

    def due(self, now: float, runs_tasks: Callable[[MachineId], bool]) -> list[LivenessObserved]:
        """Return requests for the checks that are due. Must be called every PATH_CHECK_INTERVAL_MS.

        `runs_tasks` returns whether the placer has tasks on a machine.
        """
        requests = self._confirm_suspicions(now)
        machines = self._rechecks_due(now, runs_tasks)
        next_machine = self._next_in_rotation(runs_tasks)
        if next_machine is not None:
            self._counters.path_checks += 1
            machines.append(next_machine)
        if machines:
            requests.append(request_checks(tuple(machines)))
        return requests

    def _confirm_suspicions(self, now: float) -> list[LivenessObserved]:
        """Confirm suspected machines that detectors have seen alive since; drop suspicions that time out."""
        requests = []
        for machine, since in list(self._suspected_since.items()):
            if self._last_observed_at(machine) >= since:
                requests += self._confirm_unreachable(now, machine)
            elif now - since > SUSPICION_TIMEOUT_MS:
                del self._suspected_since[machine]
                del self._consecutive_missed[machine]
        return requests

    def _confirm_unreachable(self, now: float, machine: MachineId) -> list[LivenessObserved]:
        """Recheck a machine that only detectors reach, and its zone, since all of it may be unreachable."""
        del self._suspected_since[machine]
        self._recheck_at[machine] = now + RECHECK_INTERVAL_MS
        self._counters.unreachable_from_here += 1
        zone = self._membership.zone_of(machine)
        if now - self._zone_checked_at.get(zone, -math.inf) < ZONE_CHECK_INTERVAL_MS:
            return []
        self._zone_checked_at[zone] = now
        self._counters.zone_checks += 1
        self._log_events.append(MachineUnreachableFromHere(f"{machine:x}", zone))
        return [request_checks(view.machines) for view in self._membership.views if view.zone == zone]

    def _rechecks_due(self, now: float, runs_tasks: Callable[[MachineId], bool]) -> list[MachineId]:
        """Return the unreachable machines whose next check is due.

        Those without tasks, and those that detectors no longer reach, are dropped: the scheduler checks them.
        """
        due = []
        for machine, recheck_at in list(self._recheck_at.items()):
            is_observed = now - self._last_observed_at(machine) <= OBSERVATION_TTL_MS
            if not runs_tasks(machine) or not is_observed:
                del self._recheck_at[machine]
                self._consecutive_missed.pop(machine, None)
            elif now >= recheck_at:
                self._recheck_at[machine] = now + RECHECK_INTERVAL_MS
                due.append(machine)
        return due

    def _next_in_rotation(self, runs_tasks: Callable[[MachineId], bool]) -> MachineId | None:
        """Return the next machine that runs tasks.

        The rotation takes the first machine of each view, then the second machine of each, and so on.
        """
        views = self._membership.views
        if not views:
            return None
        longest = max(len(view.machines) for view in views)
        position_count = len(views) * longest
        for _ in range(position_count):
            row, column = divmod(self._position, len(views))
            self._position = (self._position + 1) % position_count
            machines = views[column].machines
            if row < len(machines) and runs_tasks(machines[row]):
                return machines[row]
        return None
