"""kelpfront: a scheduler for a cluster in which many placers run side by side and share no state.

`kelpfront.scheduling.scheduler.Scheduler` makes the decisions of one placer; its settings, events and actions
are defined in the same package.
"""

from kelpfront.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
