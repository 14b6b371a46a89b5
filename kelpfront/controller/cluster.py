"""The configured cluster: the scheduler's settings and the names of its classes and machine kinds.

The scheduler identifies task classes and machine kinds by index, the API and the machines by name.
`kelpfront.config` reads and validates the settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpfront.scheduling.settings import SchedulerSettings, TaskClass


@dataclass(frozen=True, slots=True)
class Cluster:
    """The scheduler's settings, with the mapping between indexes and the names that the API uses.

    Attributes:
        settings: the scheduler's settings.
        kinds: the names of the machine kinds, by index.
        lost_after_ms: how long a machine may be disconnected before its tasks are declared lost.
        class_numbers: the index of each task class, by name.
        kind_numbers: the index of each machine kind, by name.
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
        """Return the task class with a name; KeyError if there is none."""
        return self.settings.classes[self.class_numbers[name]]

    def required_kind_name(self, cls: TaskClass) -> str:
        """Return the machine kind that a class requires; empty if it accepts any kind."""
        return "" if cls.required_kind is None else self.kinds[cls.required_kind]
