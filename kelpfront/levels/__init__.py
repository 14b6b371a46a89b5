"""Levels of reduced service: what a placer gives up, when and why. Pure: no I/O, no clock, seeded chance.

`Governor` is what a placer holds. `Ladder` decides the level, `Symptoms` what speaks for it, `Door` which
work is taken at it, `FairQueue` the order in which what was taken has its turn.
"""

from kelpfront.levels.door import Ask, Turned
from kelpfront.levels.fairqueue import FairQueue
from kelpfront.levels.governor import Governor, LevelSettings
from kelpfront.levels.ladder import Change, Ladder
from kelpfront.levels.model import Level, Measures, RoomView, Seen

__all__ = [
    "Ask",
    "Change",
    "FairQueue",
    "Governor",
    "Ladder",
    "Level",
    "LevelSettings",
    "Measures",
    "RoomView",
    "Seen",
    "Turned",
]
