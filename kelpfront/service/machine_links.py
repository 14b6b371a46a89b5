"""The links of one placer, one for each machine that it knows, and what the controller asks of them.

The machines come from the controller's registry; a link opens and closes with its machine. How a link speaks
is left to `http_link` and `grpc_link`.
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
        by_host: the open links by their machines' names.
    """

    def __init__(self, context: LinkContext) -> None:
        self.by_host: dict[str, MachineLink] = {}
        self._context = context
        self._registry = context.controller.registry
        self._closing = BackgroundTasks(log_task_failure)

    def execute(self, intent: Intent) -> None:
        """Carry out what the controller decided."""
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
        """Open and close links where machines came or went."""
        if len(self.by_host) != len(self._registry.entries):
            self.sync()

    def sync(self) -> None:
        """Hold one link for each machine of the registry; a removed machine without tasks has none."""
        entries = self._registry.entries
        for name, entry in entries.items():
            is_wanted = not entry.removed or bool(entry.task_count)
            link = self.by_host.get(name)
            if link is not None and not (is_wanted and link.address == entry.host.address):
                self._drop(name)
            if is_wanted and name not in self.by_host:
                self._open(name, entry)
        unknown = [name for name in self.by_host if name not in entries]
        for name in unknown:
            self._drop(name)

    async def read_task_output(self, host: str, task: str, attempt: int, max_bytes: int) -> bytes:
        """Return the last bytes of a task's output; ApiError where there is none to be had."""
        link = self.by_host.get(host)
        if link is None:
            raise ApiError(404, f"machine {host} is gone, and the output of its tasks with it")
        try:
            output = await link.read_task_output(task, attempt, max_bytes)
        except TaskOutputUnavailableError as error:
            why = str(error) or "no answer in time"
            raise ApiError(503, f"machine {host} does not tell: {why}", retry_after_s=1) from error
        if output is None:
            raise ApiError(404, f"machine {host} keeps no output of attempt {attempt} of task {task}")
        return output

    async def close(self) -> None:
        """Close all links, and return when those that were dropped before are closed too."""
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
    """Open the link for an address, grpc://HOST:PORT or http://HOST:PORT. It begins to connect at once."""
    if address.startswith("grpc://"):
        from kelpfront.service.grpc_link import GrpcLink  # gRPC is an optional dependency

        return GrpcLink(host, address, context)
    return HttpLink(host, address, context)
