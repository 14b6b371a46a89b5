"""The REST client, with retries.

```python
from kelpfront.client import JobSpec
from kelpfront.client.rest import RestClient

async with RestClient(["http://127.0.0.1:8140", "http://127.0.0.1:8141"]) as client:
    job = await client.submit("climate", JobSpec(class_="web", service="front", cores=1, memory=2))
    job = await client.wait_answers(job)
```
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

from kelpfront.api.meta import JOBS, MACHINES, Object, Resource
from kelpfront.client.client import Client
from kelpfront.client.informer import Informer, ObjectList
from kelpfront.client.retrying import RetryingClient
from kelpfront.client.transport import AttemptMarks, WatchLine


def _attempt_headers(marks: AttemptMarks) -> tuple[tuple[str, str], ...]:
    headers = [
        ("kelpfront-sent-at", f"{marks.sent_at_ms:.3f}"),
        ("kelpfront-attempt", str(marks.attempt)),
    ]
    if marks.previous_outcome:
        headers.append(("kelpfront-previous", marks.previous_outcome))
    return tuple(headers)


class RestTransport:
    """A `transport.Transport` to one placer over REST."""

    def __init__(self, url: str) -> None:
        self.address = url
        self._client = Client(url)

    async def create(self, namespace: str, body: Object, timeout_s: float, marks: AttemptMarks) -> Object:
        """Submit a job."""
        path = self._client.path(JOBS, namespace)
        return await self._client.request(
            "POST", path, body, headers=_attempt_headers(marks), timeout_s=timeout_s
        )

    async def read(
        self, resource: Resource, namespace: str, name: str, timeout_s: float, marks: AttemptMarks
    ) -> Object:
        """Return an object."""
        path = self._client.path(resource, namespace, name)
        return await self._client.request("GET", path, headers=_attempt_headers(marks), timeout_s=timeout_s)

    async def list_objects(
        self,
        resource: Resource,
        namespace: str | None,
        timeout_s: float,  # noqa: ARG002 - required by Transport; each page has the client's timeout
        marks: AttemptMarks,  # noqa: ARG002 - required by Transport; not sent with lists over REST
    ) -> ObjectList:
        """Return all objects, read in pages."""
        return await self._client.list_objects(resource, namespace)

    async def delete(self, namespace: str, name: str, timeout_s: float, marks: AttemptMarks) -> None:
        """Delete a job."""
        path = self._client.path(JOBS, namespace, name)
        await self._client.request("DELETE", path, headers=_attempt_headers(marks), timeout_s=timeout_s)

    async def set_unschedulable(
        self,
        name: str,
        timeout_s: float,  # noqa: ARG002 - required by Transport; the client's timeout applies
        marks: AttemptMarks,  # noqa: ARG002 - required by Transport; not sent with patches over REST
        *,
        unschedulable: bool,
    ) -> Object:
        """Drain a machine, or let it accept work again."""
        return await self._client.patch(MACHINES, None, name, {"spec": {"unschedulable": unschedulable}})

    async def watch(
        self,
        resource: Resource,
        namespace: str | None,
        name: str | None,
        revision: str | None,
        on_open: Callable[[], None],
    ) -> AsyncIterator[WatchLine]:
        """Yield the lines of one watch until it ends or fails."""
        selectors = {} if name is None else {"fieldSelector": f"metadata.name={name}"}
        informer = Informer()
        informer.revision = revision
        async for data in self._client.watch_lines(resource, namespace, selectors, informer, on_open):
            yield WatchLine(data["type"], data["object"])

    def close(self) -> None:
        """Close the connections."""
        self._client.close()


class RestClient(RetryingClient):
    """A `PlacerClient` over REST. `urls` is the URL of one placer or a sequence of them.

    `options` are passed to `RetryingClient`.
    """

    def __init__(self, urls: str | Sequence[str], **options: Any) -> None:
        all_urls = [urls] if isinstance(urls, str) else urls
        super().__init__([RestTransport(url) for url in all_urls], **options)
