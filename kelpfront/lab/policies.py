"""Other ways to choose machines, to compare the decisions with. Each keeps the five rules as they are.

They are the module with its choice replaced: what filters for the rules stays (spread, effects, cold
machines, drains), and so do time-outs, attempts and answers. None of them is for use.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from kelpfront.controller.cluster import Cluster
from kelpfront.controller.job_controller import ControllerIdentity, ControllerOptions, JobController
from kelpfront.scheduling.events import MachineId
from kelpfront.scheduling.model import Machine, Task
from kelpfront.scheduling.scheduler import Scheduler, _home
from kelpfront.scheduling.settings import TaskClass
from kelpfront.store import ResourceStore


class _Plain(Scheduler):
    """Room and the rules alone: machines that serve badly are not avoided, and nothing is learned of use."""

    def _fits_health(self, cls: TaskClass, machine: Machine) -> bool:
        return True

    def _calm(self, task: Task, machines: list[Machine]) -> list[Machine]:
        return machines

    def _hold(self) -> None:
        pass


class RandomChoice(_Plain):
    """Any machine that has room."""

    def _pick(self, task: Task) -> Machine | None:
        passing, _ = self._candidates(task)
        return self._random.choice(passing) if passing else None


class LeastLoaded(_Plain):
    """The machine of which the least is asked for, by what this placer knows."""

    def _pick(self, task: Task) -> Machine | None:
        def share(machine: Machine) -> float:
            return max(machine.asked_cores / machine.cores, machine.asked_memory / machine.memory)

        passing, _ = self._candidates(task)
        return min(passing, key=lambda m: (share(m), _home(task.service, m.id)), default=None)


class WithoutGuardrails(Scheduler):
    """The module's filters and its preference for where a service runs, without counters between placers."""

    def _pick(self, task: Task) -> Machine | None:
        passing, _ = self._candidates(task)
        held = {id(a.machine) for a in self._services.get(task.service, {}).values()}
        near = [m for m in passing if id(m) in held] or passing
        return min(near, key=lambda m: _home(task.service, m.id), default=None)


@dataclass(frozen=True, slots=True)
class Truth:
    """What a machine is really like now: cores and memory that it would still take, classes that fail."""

    free_cores: float
    free_memory: float
    cores: float
    failing: frozenset[str]
    programs: frozenset[int]  # numbers of the services whose start is cheap there


class PerfectKnowledge(Scheduler):
    """Sees every machine as it is, with all placers' tasks; the laboratory sets `truth`. None: not usable."""

    truth: Callable[[MachineId], Truth | None] = staticmethod(lambda machine: None)

    def _roomy(self, task: Task, machines: list[Machine]) -> list[Machine]:
        seen = [(m, self.truth(m.id)) for m in machines]
        cores, memory = task.cores, task.memory
        return [m for m, its in seen if its and its.free_cores >= cores and its.free_memory >= memory]

    def _fits_health(self, cls: TaskClass, machine: Machine) -> bool:
        its = self.truth(machine.id)
        return its is not None and cls.name not in its.failing

    def _hold(self) -> None:
        pass

    def _pick(self, task: Task) -> Machine | None:
        def good(machine: Machine) -> tuple[bool, float]:
            its = self.truth(machine.id)
            assert its is not None
            return task.service in its.programs, its.free_cores / its.cores

        passing = [m for m in self._candidates(task)[0] if self._fits_health(task.cls, m)]
        return max(passing, key=lambda m: (good(m), -_home(task.service, m.id)), default=None)


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
