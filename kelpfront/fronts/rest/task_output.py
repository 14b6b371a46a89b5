"""Serves the output of a task from the machine that runs or ran it: `GET .../jobs/NAME/log`.

This module finds the attempt; a `TaskOutputReader` reads the output from the machine.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, Object
from kelpfront.fronts.rest.parameters import read_integer
from kelpfront.fronts.rest.responses import PLAIN_TEXT, error_response
from kelpfront.http.messages import Request, Response
from kelpfront.store import ResourceStore

DEFAULT_TAIL_BYTES = 1 << 20
"""Used if the request does not specify a number of bytes: about ten thousand lines."""
MAX_TAIL_BYTES = 16 << 20
"""Limited because the output is held in memory while it is sent."""
NOT_EXECUTED_ENDS = ("refused", "not sent", "unreachable")
"""The `end` values of attempts that were never executed and so have no output."""

TaskOutputReader = Callable[[str, str, int, int], Awaitable[bytes]]
"""Reads the output of an attempt, given the machine, task uid, attempt number and maximum number of bytes.

Raises ApiError if the output cannot be read.
"""


class ExecutedAttempt(NamedTuple):
    """One attempt to run a task on a machine; `number` is the attempt number."""

    machine: str
    task_uid: str
    number: int


def find_attempt(job: Object, index: int, attempt_number: int | None) -> ExecutedAttempt:
    """Find an attempt of a task: the last one that was executed, unless `attempt_number` selects one.

    If no attempt was executed, the last one is returned.

    Raises:
        ApiError: 404 if there is no such task or attempt.
    """
    name = job["metadata"]["name"]
    task = next((task for task in job["status"]["tasks"] if task["index"] == index), None)
    if task is None:
        raise ApiError(404, f'job "{name}" has no task {index}', resource=JOBS, name=name)
    attempts = [attempt for attempt in task["attempts"] if attempt_number in (None, attempt["attempt"])]
    if not attempts:
        problem = (
            "has not been sent to a machine" if attempt_number is None else f"has no attempt {attempt_number}"
        )
        raise ApiError(404, f'task {index} of job "{name}" {problem}', resource=JOBS, name=name)
    executed = [attempt for attempt in attempts if attempt.get("end") not in NOT_EXECUTED_ENDS]
    chosen = (executed or attempts)[-1]
    return ExecutedAttempt(chosen["machine"], task["uid"], chosen["attempt"])


def task_output_response(
    store: ResourceStore, request: Request, job_key: tuple[str, str], read_output: TaskOutputReader
) -> Response:
    """Return a response that is completed with the task's output once the machine has sent it."""
    index = read_integer(request, "task")
    attempt_number = read_integer(request, "attempt")
    tail_bytes = read_integer(request, "tailBytes")
    if tail_bytes is not None and tail_bytes > MAX_TAIL_BYTES:
        raise ApiError(400, f"tailBytes: {tail_bytes}; at most {MAX_TAIL_BYTES} are sent")
    max_bytes = DEFAULT_TAIL_BYTES if tail_bytes is None else tail_bytes
    attempt = find_attempt(store.get(JOBS, job_key).body, index or 0, attempt_number)

    async def read_and_respond() -> Response:
        try:
            output = await read_output(attempt.machine, attempt.task_uid, attempt.number, max_bytes)
        except ApiError as error:
            return error_response(error)
        return Response(200, output, PLAIN_TEXT)

    return Response(200, deferred=read_and_respond())
