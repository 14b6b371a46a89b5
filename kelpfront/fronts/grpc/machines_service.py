"""The Machines service of api.proto: translates requests into operations, and results into messages."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

from kelpfront.api.meta import MACHINES
from kelpfront.fronts.grpc.call_metadata import Context
from kelpfront.fronts.grpc.reading import EVENT_TYPES, list_page, watch_updates
from kelpfront.fronts.grpc.service_context import ServiceContext
from kelpfront.fronts.grpc.unary import run_unary_call
from kelpfront.rpc.machines import machine_message
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import api_pb2_grpc as rpc
from kelpfront.v1 import resources_pb2


class MachinesService(rpc.MachinesServicer):
    """The Machines service. The names of its methods are defined in api.proto."""

    def __init__(self, service: ServiceContext) -> None:
        self._service = service
        self._operations = service.operations

    async def Get(  # noqa: N802
        self, request: pb.GetRequest, context: Context[Any, Any]
    ) -> resources_pb2.Machine:
        """Return one machine."""

        def get(_received_at: float) -> resources_pb2.Machine:
            return machine_message(self._operations.store.get(MACHINES, ("", request.name)).body)

        return await run_unary_call(self._service, context, get)

    async def List(  # noqa: N802
        self, request: pb.ListRequest, context: Context[Any, Any]
    ) -> pb.ListMachinesResponse:
        """Return a page of machines."""

        def list_machines(_received_at: float) -> pb.ListMachinesResponse:
            page = list_page(self._operations.store, MACHINES, request)
            machines = [machine_message(machine) for machine in page.objects]
            return pb.ListMachinesResponse(
                machines=machines, resume_token=page.resume_token, continue_token=page.continue_token
            )

        return await run_unary_call(self._service, context, list_machines)

    async def SetUnschedulable(  # noqa: N802
        self, request: pb.SetUnschedulableRequest, context: Context[Any, Any]
    ) -> resources_pb2.Machine:
        """Mark a machine as unschedulable, so that it receives no new tasks, or as schedulable again."""

        def patch(_received_at: float) -> resources_pb2.Machine:
            change = {"spec": {"unschedulable": request.unschedulable}}
            written = self._operations.patch_machine(request.name, change)
            return machine_message(written.stored.body)

        return await run_unary_call(self._service, context, patch)

    async def Watch(  # noqa: N802
        self, request: pb.WatchRequest, context: Context[Any, Any]
    ) -> AsyncIterator[pb.WatchMachinesResponse]:
        """Stream the changes of machines, and bookmarks with a resume token."""
        async with contextlib.aclosing(watch_updates(self._service, MACHINES, request, context)) as updates:
            async for event, resume_token in updates:
                if event is None:
                    yield pb.WatchMachinesResponse(type=pb.EVENT_TYPE_BOOKMARK, resume_token=resume_token)
                else:
                    machine = machine_message(event.stored.body)
                    event_type = EVENT_TYPES[event.type.value]
                    yield pb.WatchMachinesResponse(
                        type=event_type, machine=machine, resume_token=resume_token
                    )
