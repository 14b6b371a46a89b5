"""The records and outputs of one controller, shared by its components.

Each component gets this context and the components that it calls as constructor arguments.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpfront.controller.cluster import Cluster
from kelpfront.controller.degradation import DegradationReporter
from kelpfront.controller.intents import IntentQueue, TaskLog
from kelpfront.controller.job_table import JobTable
from kelpfront.controller.machine_registry import MachineRegistry
from kelpfront.controller.scheduler_driver import SchedulerDriver
from kelpfront.controller.status_publisher import StatusPublisher
from kelpfront.controller.stop_requests import StopRequests
from kelpfront.controller.task_table import TaskTable
from kelpfront.controller.tasks import Task
from kelpfront.scheduling.settings import TaskClass
from kelpfront.store import ResourceStore
from kelpfront.timers import Timers


@dataclass(frozen=True, slots=True)
class ControllerContext:
    """The records and outputs that the components of one controller share.

    Attributes:
        cluster: the settings.
        store: the objects that the API serves.
        registry: the machines.
        task_table: the index of tasks.
        job_table: the index of jobs.
        stops: the unconfirmed requests to machines to stop a task.
        publisher: writes changes of jobs and machines to the store.
        degradation: the levels of reduced service.
        driver: passes events to the scheduler.
        timers: scheduled callbacks.
        intents: the I/O that the service is to carry out.
        log: writes log lines about tasks.
    """

    cluster: Cluster
    store: ResourceStore
    registry: MachineRegistry
    task_table: TaskTable
    job_table: JobTable
    stops: StopRequests
    publisher: StatusPublisher
    degradation: DegradationReporter
    driver: SchedulerDriver
    timers: Timers
    intents: IntentQueue
    log: TaskLog

    def class_of(self, task: Task) -> TaskClass:
        """Return the task class of a task."""
        return self.cluster.settings.classes[task.job.class_index]
