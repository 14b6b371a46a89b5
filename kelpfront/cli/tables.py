"""Formats jobs, their tasks and attempts, machines and levels of service as tables.

The commands request the objects from a placer.
"""

from __future__ import annotations

from rich.table import Table

from kelpfront.api.meta import JOBS, LEVELS, Object, Resource
from kelpfront.cli.common import plain_table

_TIME_OF_DAY = slice(11, 23)  # part of a timestamp, such as 15:04:05.123


def objects_table(resource: Resource, objects: list[Object], *, wide: bool) -> Table:
    """Return a table of objects; a wide table has a column for the namespace of jobs."""
    if resource is JOBS:
        columns = ["NAME", "CLASS", "SERVICE", "PHASE", "TASKS", "PLACED", "REFUSED", "FAILED", "CREATED"]
        table = plain_table(*(["NAMESPACE"] if wide else []), *columns)
    elif resource is LEVELS:
        table = plain_table("PLACER", "LEVEL", "SINCE", "WHY", "CHANGES")
    else:
        table = plain_table(
            "NAME", "STATE", "KIND", "RACK", "ROOM", "CORES", "MEMORY", "FREE", "FREE MEM", "TASKS", "MESSAGE"
        )
    for obj in objects:
        table.add_row(*object_row(resource, obj, wide=wide))
    return table


def object_row(resource: Resource, obj: Object, *, wide: bool) -> list[str]:
    """Return the cells of an object in the table of its resource."""
    if resource is JOBS:
        return _job_row(obj, wide=wide)
    if resource is LEVELS:
        return _level_row(obj)
    return _machine_row(obj)


def tasks_table(job: Object) -> Table:
    """Return a table of a job's tasks, with the last answer of each."""
    table = plain_table("TASK", "STATE", "ANSWER", "MACHINE", "ATTEMPTS", "REASON")
    for task in job["status"]["tasks"]:
        table.add_row(
            f"{job['metadata']['name']}/{task['index']}",
            task["state"],
            task.get("answer", ""),
            task.get("machine", ""),
            str(len(task["attempts"])),
            task.get("reason", ""),
        )
    return table


def attempts_table(job: Object) -> Table:
    """Return a table of all attempts of a job's tasks."""
    table = plain_table("TASK", "ATTEMPT", "MACHINE", "SENT", "END", "REASON", "MESSAGE")
    for task in job["status"]["tasks"]:
        has_answer = bool(task.get("answer"))
        for attempt in task["attempts"]:
            table.add_row(
                str(task["index"]),
                str(attempt["attempt"]),
                attempt["machine"],
                attempt["sentAt"][_TIME_OF_DAY],
                attempt.get("end", "" if has_answer else "open"),
                attempt.get("reason", ""),
                attempt.get("message", ""),
            )
    return table


def _job_row(job: Object, *, wide: bool) -> list[str]:
    metadata, spec, status = job["metadata"], job["spec"], job["status"]
    answers = [task.get("answer") for task in status["tasks"]]
    row = [
        metadata["name"],
        spec["class"],
        spec["service"],
        status["phase"],
        str(len(answers)),
        *(str(answers.count(answer)) for answer in ("Placed", "Refused", "Failed")),
        metadata["creationTimestamp"],
    ]
    return [metadata["namespace"], *row] if wide else row


def _level_row(level: Object) -> list[str]:
    status = level["status"]
    changes = f"{status['changesInHour']} of {status['changesMost']} in the hour"
    return [level["metadata"]["name"], status["level"], status["since"], status["why"], changes]


def _machine_row(machine: Object) -> list[str]:
    spec, status = machine["spec"], machine["status"]
    free = status["free"]
    return [
        machine["metadata"]["name"],
        status["state"],
        spec["kind"],
        spec["rack"],
        spec["room"],
        f"{spec['cores']:g}",
        f"{spec['memory']:g}",
        f"{free.get('cores', 0):g}" if free else "-",
        f"{free.get('memory', 0):g}" if free else "-",
        str(status["tasks"]),
        status.get("message", ""),
    ]
