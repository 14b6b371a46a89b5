"""kelpfront: the decisions of one placer in a cluster where many placers share nothing.

`kelpfront.rules.Scheduler` decides; `kelpfront.interface` holds its settings, events and actions.
"""

from kelpfront.rules import Scheduler

__all__ = ["Scheduler"]
