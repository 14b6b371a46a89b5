"""Maps values of protobuf enumerations to their names in the API's JSON.

The value `TASK_STATE_PENDING` is `Pending` in the API's JSON. The value 0, protobuf's default of an unset
field, has no name.
"""

from __future__ import annotations

from typing import Any

from kelpfront.v1 import resources_pb2 as pb


class EnumNames:
    """The names and numbers of one enumeration whose values start with `prefix`."""

    def __init__(self, enum: Any, prefix: str) -> None:
        self.numbers: dict[str, Any] = {
            value.removeprefix(prefix).title().replace("_", ""): number
            for value, number in enum.items()
            if number != 0
        }
        self._names: dict[int, str] = {number: name for name, number in self.numbers.items()}

    def find(self, number: int) -> str | None:
        """Return the name of a number, or None if this version does not know the number."""
        return self._names.get(number)


TASK_STATES = EnumNames(pb.TaskState, "TASK_STATE_")
ANSWERS = EnumNames(pb.Answer, "ANSWER_")
PHASES = EnumNames(pb.Phase, "PHASE_")
MACHINE_STATES = EnumNames(pb.MachineState, "MACHINE_STATE_")
