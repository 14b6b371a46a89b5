"""The output of a job's task, read from the machine that runs or ran it: `GET .../jobs/NAME/log`.

Finding the attempt is done here; reading from the machine is left to the process.
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
"""Where the request names no number: some ten thousand lines."""
MAX_TAIL_BYTES = 16 << 20
"""The output is held in memory while it is sent."""
NOT_EXECUTED = ("refused", "not sent", "unreachable")
"""Ends of attempts that have no output."""

TaskOutputReader = Callable[[str, str, int, int], Awaitable[bytes]]
"""Machine, task's uid, attempt and the most bytes, to output; ApiError where there is none to be had."""


class ExecutedAttempt(NamedTuple):
    """One attempt of a task on its machine."""

    machine: str
    task_uid: str
    number: int


def find_attempt(job: Object, index: int, attempt: int | None) -> ExecutedAttempt:
    """Find an attempt of a task; the last that was executed where none is named.

    Raises ApiError 404 where there is none.
    """
    name = job["metadata"]["name"]
    task = next((task for task in job["status"]["tasks"] if task["index"] == index), None)
    if task is None:
        raise ApiError(404, f'job "{name}" has no task {index}', resource=JOBS, name=name)
    attempts = [known for known in task["attempts"] if attempt in (None, known["attempt"])]
    if not attempts:
        which = "has not been sent to a machine" if attempt is None else f"has no attempt {attempt}"
        raise ApiError(404, f'task {index} of job "{name}" {which}', resource=JOBS, name=name)
    executed = [known for known in attempts if known.get("end") not in NOT_EXECUTED]
    chosen = (executed or attempts)[-1]
    return ExecutedAttempt(chosen["machine"], task["uid"], chosen["attempt"])


def task_output_response(
    store: ResourceStore, request: Request, job_key: tuple[str, str], read: TaskOutputReader
) -> Response:
    """Answer with a task's output once its machine has sent it."""
    index = read_integer(request, "task")
    attempt = read_integer(request, "attempt")
    tail_bytes = read_integer(request, "tailBytes")
    if tail_bytes is not None and tail_bytes > MAX_TAIL_BYTES:
        raise ApiError(400, f"tailBytes: {tail_bytes}; at most {MAX_TAIL_BYTES} are sent")
    max_bytes = DEFAULT_TAIL_BYTES if tail_bytes is None else tail_bytes
    found = find_attempt(store.get(JOBS, job_key).body, index or 0, attempt)

    async def read_and_answer() -> Response:
        try:
            output = await read(found.machine, found.task_uid, found.number, max_bytes)
        except ApiError as error:
            return error_response(error)
        return Response(200, output, PLAIN_TEXT)

    return Response(200, deferred=read_and_answer())
