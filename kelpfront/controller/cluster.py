"""The cluster as it is configured: the scheduler's settings and the names behind its numbers.

The scheduler knows classes and kinds of machines by index; the API and the machines know them by name. The
settings are read and checked by `kelpfront.config`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpfront.scheduling.settings import SchedulerSettings, TaskClass


@dataclass(frozen=True, slots=True)
class Cluster:
    """The scheduler's settings, with the names that the API uses for its numbers.

    Attributes:
        settings: the settings of the scheduler.
        kinds: the names of the kinds of machines, by index.
        lost_after_ms: how long a machine may be disconnected before its tasks are declared lost.
        class_numbers: the index of each task class, by name.
        kind_numbers: the index of each kind, by name.
    """

    settings: SchedulerSettings
    kinds: tuple[str, ...]
    lost_after_ms: float
    class_numbers: dict[str, int] = field(init=False)
    kind_numbers: dict[str, int] = field(init=False)

    def __post_init__(self) -> None:
        classes = {cls.name: number for number, cls in enumerate(self.settings.classes)}
        object.__setattr__(self, "class_numbers", classes)
        object.__setattr__(self, "kind_numbers", {name: number for number, name in enumerate(self.kinds)})

    def task_class(self, name: str) -> TaskClass:
        """Return the class of a name; KeyError where there is none."""
        return self.settings.classes[self.class_numbers[name]]

    def required_kind_name(self, cls: TaskClass) -> str:
        """Return the kind of machine that a class requires; empty where any will do."""
        return "" if cls.required_kind is None else self.kinds[cls.required_kind]
