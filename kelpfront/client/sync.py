"""A blocking client for programs without asyncio.

```python
from kelpfront.client import JobSpec
from kelpfront.client.rest import RestClient
from kelpfront.client.sync import SyncClient

with SyncClient(lambda: RestClient("http://127.0.0.1:8140")) as client:
    job = client.submit("climate", JobSpec(class_="web", service="front", cores=1, memory=2))
    job = client.wait_answers(job)
```
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from types import TracebackType
from typing import Any, TypeVar

from kelpfront.api.jobs import Job, JobSpec
from kelpfront.api.machines import Machine
from kelpfront.client.informer import Event
from kelpfront.client.interface import PlacerClient

T = TypeVar("T")


class SyncClient:
    """Runs a `PlacerClient` on an event loop in a separate thread, until `close` is called.

    `make` returns the client; it is called in the thread of the loop. The methods are the blocking
    equivalents of those of `PlacerClient`.
    """

    def __init__(self, make: Callable[[], PlacerClient]) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="kelpfront", daemon=True)
        self._thread.start()

        async def make_client() -> PlacerClient:
            return make()

        try:
            self._client = self._run(make_client())
        except BaseException:
            self._stop_loop()
            raise

    def _run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return future.result()
        except BaseException:  # includes KeyboardInterrupt: cancel the call when its caller stops waiting
            future.cancel()
            raise

    def _iterate(self, stream: AsyncIterator[T]) -> Iterator[T]:
        async def next_item() -> T:
            return await anext(stream)

        async def close() -> None:
            aclose = getattr(stream, "aclose", None)
            if aclose is not None:
                await aclose()

        try:
            while True:
                try:
                    yield self._run(next_item())
                except StopAsyncIteration:
                    return
        finally:
            self._run(close())

    def submit(self, namespace: str, spec: JobSpec, **options: Any) -> Job:
        """Submit a job, as `PlacerClient.submit` does."""
        return self._run(self._client.submit(namespace, spec, **options))

    def get_job(self, namespace: str, name: str) -> Job:
        """Return a job."""
        return self._run(self._client.get_job(namespace, name))

    def list_jobs(self, namespace: str | None = None) -> list[Job]:
        """Return the jobs of a namespace, or of all namespaces."""
        return self._run(self._client.list_jobs(namespace))

    def delete_job(self, namespace: str, name: str) -> None:
        """Delete a job and withdraw its tasks."""
        self._run(self._client.delete_job(namespace, name))

    def follow(self, job: Job) -> Iterator[Job]:
        """Yield the current job, then its state after each change."""
        return self._iterate(self._client.follow(job))

    def wait_answers(self, job: Job, *, timeout_s: float | None = None) -> Job:
        """Return the job once each of its tasks has an answer."""
        return self._run(self._client.wait_answers(job, timeout_s=timeout_s))

    def watch_jobs(self, namespace: str | None = None) -> Iterator[Event]:
        """Yield the jobs of one placer, then every change to them."""
        return self._iterate(self._client.watch_jobs(namespace))

    def list_machines(self) -> list[Machine]:
        """Return the machines as known to one placer."""
        return self._run(self._client.list_machines())

    def set_unschedulable(self, machine: str, *, unschedulable: bool) -> Machine:
        """Drain a machine at every placer, or let it accept work again."""
        return self._run(self._client.set_unschedulable(machine, unschedulable=unschedulable))

    def close(self) -> None:
        """Close the client, its event loop and its thread."""
        if self._thread.is_alive():
            self._run(self._client.__aexit__(None, None, None))
            self._stop_loop()

    def _stop_loop(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def __enter__(self) -> SyncClient:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()
