"""The output of a job's task, read from the machine that runs or ran it: `GET .../jobs/NAME/log`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, Object
from kelpfront.http.messages import Request, Response
from kelpfront.store import ResourceStore

TAIL_USUAL = 1 << 20
TAIL_MOST = 16 << 20

LogReader = Callable[[str, str, int, int], Awaitable[bytes]]
"""Machine, task's uid, attempt and the most bytes, to output; ApiError where there is none to be had."""


def find_attempt(job: Object, index: int, attempt: int | None) -> tuple[str, str, int]:
    """Machine, uid and number of the attempt that is meant: the last that was sent where none is named."""
    name = job["metadata"]["name"]
    task = next((task for task in job["status"]["tasks"] if task["index"] == index), None)
    if task is None:
        raise ApiError(404, f'job "{name}" has no task {index}', resource=JOBS, name=name)
    attempts = [one for one in task["attempts"] if attempt in (None, one["attempt"])]
    if not attempts:
        which = "has not been sent to a machine" if attempt is None else f"has no attempt {attempt}"
        raise ApiError(404, f'task {index} of job "{name}" {which}', resource=JOBS, name=name)
    ran = [one for one in attempts if one.get("end") not in ("refused", "not sent", "unreachable")]
    chosen = (ran or attempts)[-1]
    return chosen["machine"], task["uid"], chosen["attempt"]


def log_answer(
    store: ResourceStore,
    request: Request,
    key: tuple[str, str],
    read: LogReader,
    whole: Callable[..., int | None],
) -> Response:
    index, attempt, tail = (whole(request, name) for name in ("task", "attempt", "tailBytes"))
    if tail is not None and tail > TAIL_MOST:
        raise ApiError(400, f"tailBytes: {tail}; at most {TAIL_MOST} are sent")
    machine, uid, number = find_attempt(store.get(JOBS, key).body, index or 0, attempt)

    async def later() -> Response:
        text = await read(machine, uid, number, TAIL_USUAL if tail is None else tail)
        return Response(200, text, "text/plain; charset=utf-8")

    return Response(200, deferred=later())
