"""The Jobs service of api.proto: translates requests into operations, and results into messages."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

from kelpfront.api.meta import JOBS, Object
from kelpfront.controller.operations import RequestOrigin
from kelpfront.fronts.grpc.bindings_stream import BindingsStream
from kelpfront.fronts.grpc.call_metadata import ATTEMPT_KEY, Context, read_metadata, read_sent_at
from kelpfront.fronts.grpc.job_submission import submit_job
from kelpfront.fronts.grpc.reading import EVENT_TYPES, list_page, watch_updates
from kelpfront.fronts.grpc.service_context import ServiceContext
from kelpfront.fronts.grpc.unary import run_unary_call
from kelpfront.rpc.jobs import job_message
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import api_pb2_grpc as rpc
from kelpfront.v1 import resources_pb2


class JobsService(rpc.JobsServicer):
    """The Jobs service. The names of its methods are defined in api.proto."""

    def __init__(self, service: ServiceContext) -> None:
        self._service = service
        self._operations = service.operations

    async def Submit(  # noqa: N802
        self, request: pb.SubmitRequest, context: Context[Any, Any]
    ) -> pb.SubmitResponse:
        """Submit a job, or find it by its client token."""
        sent_at = read_sent_at(context)
        is_retry = self._operations.count_submission(read_metadata(context, ATTEMPT_KEY))

        def submit(received_at: float) -> pb.SubmitResponse:
            origin = RequestOrigin(received_at, sent_at, is_retry)
            submitted = submit_job(self._operations, request.namespace, request, origin)
            return pb.SubmitResponse(job=job_message(submitted.job), created=submitted.created)

        return await run_unary_call(self._service, context, submit)

    async def Get(  # noqa: N802
        self, request: pb.GetRequest, context: Context[Any, Any]
    ) -> resources_pb2.Job:
        """Return one job."""

        def get(_received_at: float) -> resources_pb2.Job:
            key = request.namespace, request.name
            return job_message(self._operations.get(JOBS, key).body)

        return await run_unary_call(self._service, context, get)

    async def List(  # noqa: N802
        self, request: pb.ListRequest, context: Context[Any, Any]
    ) -> pb.ListJobsResponse:
        """Return a page of jobs."""

        def list_jobs(_received_at: float) -> pb.ListJobsResponse:
            page = list_page(self._operations.store, JOBS, request)
            jobs = [job_message(job) for job in page.objects]
            return pb.ListJobsResponse(
                jobs=jobs, resume_token=page.resume_token, continue_token=page.continue_token
            )

        return await run_unary_call(self._service, context, list_jobs)

    async def Delete(  # noqa: N802
        self, request: pb.DeleteRequest, context: Context[Any, Any]
    ) -> pb.DeleteResponse:
        """Delete one job."""

        def delete(_received_at: float) -> pb.DeleteResponse:
            options: Object = {"preconditions": {"uid": request.uid}} if request.uid else {}
            self._operations.delete_job(request.namespace, request.name, options)
            return pb.DeleteResponse()

        return await run_unary_call(self._service, context, delete)

    async def Watch(  # noqa: N802
        self, request: pb.WatchRequest, context: Context[Any, Any]
    ) -> AsyncIterator[pb.WatchJobsResponse]:
        """Stream the changes of jobs, and bookmarks with a resume token."""
        async with contextlib.aclosing(watch_updates(self._service, JOBS, request, context)) as updates:
            async for event, resume_token in updates:
                if event is None:
                    yield pb.WatchJobsResponse(type=pb.EVENT_TYPE_BOOKMARK, resume_token=resume_token)
                else:
                    job = job_message(event.stored.body)
                    event_type = EVENT_TYPES[event.type.value]
                    yield pb.WatchJobsResponse(type=event_type, job=job, resume_token=resume_token)

    async def Bindings(  # noqa: N802
        self, requests: AsyncIterator[pb.BindingsRequest], context: Context[Any, Any]
    ) -> None:
        """Serve a Bindings stream: submissions in, events of their jobs out."""
        await BindingsStream(self._service, context).run(requests)
