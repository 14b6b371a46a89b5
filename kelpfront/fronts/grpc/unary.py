"""Runs the unary calls of the gRPC API: paces them, and converts errors to their status."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, TypeVar

import structlog

from kelpfront.api.errors import ApiError
from kelpfront.fronts.grpc.call_metadata import Context, abort
from kelpfront.fronts.grpc.service_context import ServiceContext

log = structlog.get_logger("kelpfront.grpc")

T = TypeVar("T")


async def run_unary_call(
    service: ServiceContext, context: Context[Any, Any], call: Callable[[float], T]
) -> T:
    """Wait for a slot of the pacer, run `call` and return its result; an error aborts the gRPC call.

    `call` receives the time at which the request arrived, in milliseconds of the common clock.
    """
    received_at = service.now()
    await service.pacer.wait_for_slot()
    started_s = time.perf_counter()
    try:
        return call(received_at)
    except ApiError as error:
        await abort(context, error)
        raise AssertionError("abort() returned instead of raising") from error
    except Exception:
        log.exception("grpc call failed")
        await abort(context, ApiError(500, "an error of the server's own; its log has the details"))
        raise
    finally:
        service.pacer.record_work(time.perf_counter() - started_s)
        service.notify_changed()
