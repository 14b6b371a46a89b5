"""Levels of reduced service: what a placer restricts under overload, when and why.

The package does no I/O, reads no clock, and draws random numbers from a given seed only. Each placer has one
`DegradationController`. It measures overload (`OverloadSignals`), decides the level (`LevelStateMachine`) and
decides which work is admitted at that level (`LoadShedder`). `FairQueue` orders the admitted work. The placer
itself publishes its level.
"""

from kelpfront.degradation.controller import AnsweredTask, DegradationController, LevelSettings, Pin
from kelpfront.degradation.fair_queue import FairQueue
from kelpfront.degradation.level_state_machine import LevelChange, LevelStateMachine
from kelpfront.degradation.load_shedder import AdmissionRequest, Rejection, RejectionReason
from kelpfront.degradation.model import CapacityView, Level, LevelPolicy, OverloadObservation

__all__ = [
    "AdmissionRequest",
    "AnsweredTask",
    "CapacityView",
    "DegradationController",
    "FairQueue",
    "Level",
    "LevelChange",
    "LevelPolicy",
    "LevelSettings",
    "LevelStateMachine",
    "OverloadObservation",
    "Pin",
    "Rejection",
    "RejectionReason",
]
