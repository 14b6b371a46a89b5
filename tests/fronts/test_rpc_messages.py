"""Tests that errors and jobs have the same meaning over gRPC as over REST. No sockets."""

from __future__ import annotations

from typing import Any

import grpc
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.api.errors import REASON_OF_HTTP_STATUS, ApiError, Cause
from kelpfront.api.jobs import JOB_INPUT
from kelpfront.rpc.jobs import job_data, spec_message
from kelpfront.rpc.status import STATUS_CODE_OF_REASON, error_from_status, status_code_of, trailers
from kelpfront.v1 import resources_pb2


@pytest.mark.parametrize("reason", [*REASON_OF_HTTP_STATUS.values(), "AlreadyExists"])
def test_every_reason_of_the_rest_api_survives_the_conversion_to_a_status(reason: str) -> None:
    http_code = next((code for code, name in REASON_OF_HTTP_STATUS.items() if name == reason), 409)
    causes = (Cause("spec.cores", "must be above 0"), Cause("spec.key", "is required", "FieldValueRequired"))
    error = ApiError(http_code, "words", reason=reason, name="x", causes=causes, retry_after_s=3)
    assert reason in STATUS_CODE_OF_REASON
    decoded = error_from_status(status_code_of(error), "words", trailers(error))
    assert decoded is not None
    assert (decoded.code, decoded.reason, decoded.message, decoded.name) == (http_code, reason, "words", "x")
    assert (decoded.causes, decoded.retry_after_s) == (causes, 3)


def test_a_status_without_error_info_is_not_an_api_error() -> None:
    assert error_from_status(grpc.StatusCode.UNAVAILABLE, "x", ()) is None
    assert (
        error_from_status(grpc.StatusCode.UNAVAILABLE, "x", (("grpc-status-details-bin", b"\xff\xff"),))
        is None
    )


@given(
    st.fixed_dictionaries(
        {"class": st.sampled_from(["web", "x"]), "service": st.text("abc", min_size=1, max_size=5)},
        optional={
            "cores": st.floats(0.1, 100.0),
            "memory": st.floats(0.1, 100.0),
            "count": st.integers(1, 1000),
            "patience": st.sampled_from(["10ms", "1500ms", "5s", "1h"]),
            "key": st.text("kx", min_size=1, max_size=5),
            "clientToken": st.text("tz", min_size=1, max_size=5),
            "command": st.lists(st.text("ab", min_size=1), min_size=1, max_size=3),
        },
    )
)
@settings(derandomize=True)
def test_a_job_means_the_same_over_grpc_and_rest(data: dict[str, Any]) -> None:
    data = {"cores": 1.0, "memory": 2.0, **data}
    through = job_data(resources_pb2.ObjectMeta(name="n"), spec_message(data))
    rest = JOB_INPUT.validate_python({"metadata": {"name": "n"}, "spec": data})
    assert JOB_INPUT.validate_python(through) == rest
