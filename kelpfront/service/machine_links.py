"""The links of one placer, one per known machine, and the execution of the controller's intents.

The machines come from the controller's registry. A link is opened when its machine is added and closed when
it is removed. The protocols are implemented in `http_link` and `grpc_link`.
"""

from __future__ import annotations

import asyncio

import structlog

from kelpfront.api.errors import ApiError
from kelpfront.controller.intents import AbandonOffer, Intent, LogLine, SendHealthCheck, SendOffer, SendStop
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.service.background_tasks import BackgroundTasks, log_task_failure
from kelpfront.service.http_link import HttpLink
from kelpfront.service.machine_link import LinkContext, MachineLink, TaskOutputUnavailableError

log = structlog.get_logger("kelpfront.controller")


class MachineLinks:
    """Opens, uses and closes the links.

    Attributes:
        by_host: the open links by machine name.
    """

    def __init__(self, context: LinkContext) -> None:
        self.by_host: dict[str, MachineLink] = {}
        self._context = context
        self._registry = context.controller.registry
        self._closing = BackgroundTasks(log_task_failure)

    def execute(self, intent: Intent) -> None:
        """Execute an intent of the controller."""
        match intent:
            case SendOffer(host=host, offer=offer):
                self._link(host).send_offer(offer)
            case AbandonOffer(host=host, task=task, attempt=attempt):
                self._link(host).abandon_offer(task, attempt)
            case SendStop(host=host, stop=request):
                self._link(host).send_stop(request)
            case SendHealthCheck(host=host):
                self._link(host).check_health()
            case LogLine(level=level, event=event, fields=fields):
                getattr(log, level)(event, **fields)

    def sync_after_changes(self) -> None:
        """Open and close links if the number of machines differs from the number of links."""
        if len(self.by_host) != len(self._registry.entries):
            self.sync()

    def sync(self) -> None:
        """Keep one link open per machine in the registry, except removed machines without tasks."""
        entries = self._registry.entries
        for name, entry in entries.items():
            is_link_needed = not entry.removed or bool(entry.task_count)
            link = self.by_host.get(name)
            if link is not None and not (is_link_needed and link.address == entry.host.address):
                self._drop(name)
            if is_link_needed and name not in self.by_host:
                self._open(name, entry)
        unknown = [name for name in self.by_host if name not in entries]
        for name in unknown:
            self._drop(name)

    async def read_task_output(self, host: str, task: str, attempt: int, max_bytes: int) -> bytes:
        """Return the last bytes of a task's output. Raises ApiError if they are not available."""
        link = self.by_host.get(host)
        if link is None:
            raise ApiError(404, f"machine {host} is gone, and the output of its tasks with it")
        try:
            output = await link.read_task_output(task, attempt, max_bytes)
        except TaskOutputUnavailableError as error:
            cause = str(error) or "no answer in time"
            raise ApiError(503, f"machine {host} does not tell: {cause}", retry_after_s=1) from error
        if output is None:
            raise ApiError(404, f"machine {host} keeps no output of attempt {attempt} of task {task}")
        return output

    async def close(self) -> None:
        """Close all links, and return when links that were dropped earlier are closed too."""
        await asyncio.gather(*(link.close() for link in self.by_host.values()))
        await self._closing.wait()

    def _link(self, host: str) -> MachineLink:
        if host not in self.by_host:
            self.sync()
        return self.by_host[host]

    def _open(self, name: str, entry: MachineRecord) -> None:
        self.by_host[name] = _make_link(name, entry.host.address, self._context)

    def _drop(self, name: str) -> None:
        link = self.by_host.pop(name)
        self._closing.spawn(link.close())
        self._context.controller.on_link_down(self._context.now(), name)


def _make_link(host: str, address: str, context: LinkContext) -> MachineLink:
    """Open the link for an address, grpc://HOST:PORT or http://HOST:PORT. It connects immediately."""
    if address.startswith("grpc://"):
        from kelpfront.service.grpc_link import GrpcLink  # gRPC is an optional dependency

        return GrpcLink(host, address, context)
    return HttpLink(host, address, context)
