"""Other ways to choose machines, to compare the decisions with. Each keeps the five rules as they are.

They are the module with its choice replaced: what filters for the rules stays (spread, effects, cold
machines, drains), and so do time-outs, attempts and answers. None of them is for use.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from kelpfront.controller.cluster import Cluster
from kelpfront.controller.job_controller import ControllerIdentity, ControllerOptions, JobController
from kelpfront.scheduling.capacity import Capacity
from kelpfront.scheduling.events import MachineId
from kelpfront.scheduling.model import Machine, Task
from kelpfront.scheduling.offer_backoff import OfferBackoff
from kelpfront.scheduling.outlier_detection import OutlierDetector
from kelpfront.scheduling.placement import Placement
from kelpfront.scheduling.preferences import preference
from kelpfront.scheduling.scheduler import Scheduler
from kelpfront.scheduling.settings import SchedulerSettings, TaskClass
from kelpfront.scheduling.utilization import Utilization
from kelpfront.store import ResourceStore


class _NoBackoff(OfferBackoff):
    def on_rejection(self) -> None:
        pass


class _NoOutliers(OutlierDetector):
    def admits(self, task_class: TaskClass, machine: Machine) -> bool:
        return True


class _NoUtilization(Utilization):
    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        return machines


class _Plain(Scheduler):
    """Room and the rules alone: machines that serve badly are not avoided, and nothing is learned of use."""

    backoff_type = _NoBackoff
    outliers_type = _NoOutliers
    utilization_type = _NoUtilization


class _RandomPlacement(Placement):
    def choose(self, task: Task) -> Machine | None:
        passing = self.candidates(task).passing
        return self._context.random.choice(passing) if passing else None


class RandomChoice(_Plain):
    """Any machine that has room."""

    placement_type = _RandomPlacement


class _LeastLoadedPlacement(Placement):
    def choose(self, task: Task) -> Machine | None:
        def share(machine: Machine) -> float:
            return max(machine.requested_cores / machine.cores, machine.requested_memory / machine.memory)

        passing = self.candidates(task).passing
        return min(passing, key=lambda m: (share(m), preference(task.service, m.id)), default=None)


class LeastLoaded(_Plain):
    """The machine of which the least is asked for, by what this placer knows."""

    placement_type = _LeastLoadedPlacement


class _PreferringPlacement(Placement):
    def choose(self, task: Task) -> Machine | None:
        passing = self.candidates(task).passing
        running = {attempt.machine for attempt in self._attempts.of_service(task.service)}
        best = [m for m in passing if m in running] or passing
        return min(best, key=lambda m: preference(task.service, m.id), default=None)


class WithoutGuardrails(Scheduler):
    """The module's filters and its preference for where a service runs, without counters between placers."""

    placement_type = _PreferringPlacement


@dataclass(frozen=True, slots=True)
class Truth:
    """What a machine is really like now: cores and memory that it would still take, classes that fail."""

    free_cores: float
    free_memory: float
    cores: float
    failing: frozenset[str]
    programs: frozenset[int]  # numbers of the services whose start is cheap there


KnowsMachine = Callable[[MachineId], Truth | None]


def _knows_nothing(machine: MachineId) -> Truth | None:
    return None


class _PerfectCapacity(Capacity):
    truth: KnowsMachine = staticmethod(_knows_nothing)

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        seen = [(m, self.truth(m.id)) for m in machines]
        cores, memory = task.cores, task.memory
        return [m for m, its in seen if its and its.free_cores >= cores and its.free_memory >= memory]


class _PerfectOutliers(OutlierDetector):
    truth: KnowsMachine = staticmethod(_knows_nothing)

    def admits(self, task_class: TaskClass, machine: Machine) -> bool:
        its = self.truth(machine.id)
        return its is not None and task_class.name not in its.failing


class _PerfectPlacement(Placement):
    truth: KnowsMachine = staticmethod(_knows_nothing)

    def choose(self, task: Task) -> Machine | None:
        def rating(machine: Machine) -> tuple[bool, float] | None:
            its = self.truth(machine.id)
            if its is None or task.task_class.name in its.failing:
                return None
            return task.service in its.programs, its.free_cores / its.cores

        rated = [(m, rating(m)) for m in self.candidates(task).passing]
        usable = [(its, -preference(task.service, m.id), m) for m, its in rated if its is not None]
        return max(usable, key=lambda entry: entry[:2], default=(None, None, None))[2]


class PerfectKnowledge(Scheduler):
    """Sees every machine as it is, with all placers' tasks; the laboratory tells it. None: not usable."""

    backoff_type = _NoBackoff
    capacity_type = _PerfectCapacity
    outliers_type = _PerfectOutliers
    placement_type = _PerfectPlacement

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.tell_truth(_knows_nothing)

    def tell_truth(self, truth: KnowsMachine) -> None:
        """Set what says how a machine really is."""
        for part in (self._capacity, self._outliers, self._placement):
            assert isinstance(part, _PerfectCapacity | _PerfectOutliers | _PerfectPlacement)
            part.truth = truth


POLICIES: dict[str, type[Scheduler]] = {
    "rules": Scheduler,
    "random": RandomChoice,
    "least-loaded": LeastLoaded,
    "no-guardrails": WithoutGuardrails,
    "perfect": PerfectKnowledge,
}


def controller_for(policy: str) -> type[JobController]:
    """A controller that decides by a policy."""
    if policy == "rules":
        return JobController
    scheduler = POLICIES[policy]

    class PolicyController(JobController):
        def __init__(
            self,
            cluster: Cluster,
            store: ResourceStore,
            identity: ControllerIdentity,
            new_uid: Callable[[], str],
            options: ControllerOptions | None = None,
        ) -> None:
            options = replace(
                options or ControllerOptions(), scheduler=scheduler(cluster.settings, identity.seed)
            )
            super().__init__(cluster, store, identity, new_uid, options)

    return PolicyController
