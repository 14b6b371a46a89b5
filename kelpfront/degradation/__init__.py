"""Levels of reduced service: what a placer gives up under overload, when and why.

Pure: no I/O, no clock, and chance only from a seed. `DegradationController` is what a placer holds: it
measures `OverloadSignals`, from which `LevelStateMachine` decides the level, and `LoadShedder` which work is
admitted at it; `FairQueue` is the order in which admitted work is handled. Publishing levels is left to the
placer.
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
