"""The records of one controller and its ways out, which its parts share.

Each record has one owner here, and each part is handed this context and the parts that it calls.
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
    """What the parts of one controller share.

    Attributes:
        cluster: the settings.
        store: the objects that the API shows.
        registry: the machines.
        task_table: the index of tasks.
        job_table: the index of jobs.
        stops: the requests to machines to stop a task.
        publisher: brings changes to the store.
        degradation: the levels of reduced service.
        driver: the way to the scheduler.
        timers: calls that are due at a time.
        intents: what is to be done by the code that has sockets.
        log: log lines about tasks.
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
        """Return the class of a task."""
        return self.cluster.settings.classes[task.job.class_index]
