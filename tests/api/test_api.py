"""Selectors, merge patches, request bodies, units and the common clock."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.api.decode import decode, parse_json
from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JOB_INPUT
from kelpfront.api.meta import JOBS, MACHINES, Resource
from kelpfront.api.patch import merge_patch
from kelpfront.api.selectors import parse_selector
from kelpfront.clock import CommonClock, parse_timestamp, timestamp
from kelpfront.store import StoredObject
from kelpfront.units import format_duration, format_size, parse_duration, parse_size

JOB: dict[str, Any] = {
    "metadata": {"name": "a"},
    "spec": {"class": "web", "service": "front", "cores": 1, "memory": 2},
}


def stored_object(resource: Resource = JOBS, **body: Any) -> StoredObject:
    labels = body.pop("labels", {})
    return StoredObject.encode(resource, ("climate", "a"), 1, {"metadata": {"labels": labels}, **body})


def labelled_object(**labels: str) -> StoredObject:
    return stored_object(labels=labels)


@pytest.mark.parametrize(
    ("selector", "expected"),
    [
        ("", {"blue", "red", "none"}),
        ("team=blue", {"blue"}),
        ("team==blue", {"blue"}),
        ("team!=blue", {"red", "none"}),
        ("team in (blue, red)", {"blue", "red"}),
        ("team notin (blue)", {"red", "none"}),
        ("team", {"blue", "red"}),
        ("!team", {"none"}),
        ("team,team!=red", {"blue"}),
        (" team in (blue,green) , tier = web ", {"blue"}),
    ],
)
def test_a_label_selector_matches_objects_that_meet_all_terms(selector: str, expected: set[str]) -> None:
    parsed = parse_selector(JOBS, selector, "")
    objects = {
        "blue": labelled_object(team="blue", tier="web"),
        "red": labelled_object(team="red"),
        "none": labelled_object(),
    }
    assert {name for name, obj in objects.items() if parsed.matches(obj)} == expected


@pytest.mark.parametrize(
    "invalid", ["a=b c", "in (x)", "a in x", "a=b,", "=b", "a=(b)", "a=b,,c", "-=b", "a=-"]
)
def test_an_invalid_label_selector_is_a_bad_request(invalid: str) -> None:
    with pytest.raises(ApiError, match="labelSelector") as error:
        parse_selector(JOBS, invalid, "")
    assert error.value.code == 400


def test_a_field_selector_compares_text_and_an_error_lists_the_supported_fields() -> None:
    machine = stored_object(MACHINES, spec={"unschedulable": True, "room": "east"})
    assert parse_selector(MACHINES, "", "spec.unschedulable=true,metadata.name=a").matches(machine)
    assert not parse_selector(MACHINES, "", "spec.room!=east").matches(machine)
    assert parse_selector(MACHINES, "", "metadata.name=n1").name == "n1"
    with pytest.raises(ApiError, match=r"'spec\.cores' is not supported; allowed: metadata\.name"):
        parse_selector(MACHINES, "", "spec.cores=1")


@pytest.mark.parametrize(
    ("target", "patch", "result"),
    [  # examples from RFC 7396, appendix A
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b"}, {"a": None}, {}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
        ({"a": "foo"}, None, None),
        ({"a": "foo"}, "bar", "bar"),
    ],
)
def test_a_merge_patch_follows_the_rfc_and_changes_no_input(target: Any, patch: Any, result: Any) -> None:
    before = repr(target)
    assert merge_patch(target, patch) == result
    assert repr(target) == before


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"", "no body"),
        (b"{", "not JSON"),
        (b"\xff{}", "not JSON"),
        (b"[]", "an object is expected"),
        (b'{"a":' * 40 + b"1" + b"}" * 40, "nested"),
        (b"[" * 100_000, "nested|JSON"),
    ],
)
def test_a_body_that_is_not_an_object_is_a_bad_request(body: bytes, message: str) -> None:
    with pytest.raises(ApiError, match=message) as error:
        parse_json(body)
    assert error.value.code == 400


def test_all_errors_of_a_body_are_reported_at_once() -> None:
    invalid = {
        "kind": "Pod",
        "metadata": {"name": "UPPER", "labels": {"a b": "x"}},
        "spec": {"service": "", "cores": -1, "memory": "2", "patience": "5", "colour": "red"},
    }
    with pytest.raises(ApiError) as error:
        decode(JOB_INPUT, JOBS, invalid)
    assert (error.value.code, error.value.reason) == (422, "Invalid")
    causes = {cause.field: cause for cause in error.value.causes}
    assert set(causes) == {
        "kind",
        "metadata.name",
        "metadata.labels.a b",
        "spec.class",
        "spec.service",
        "spec.cores",
        "spec.memory",
        "spec.patience",
        "spec.colour",
    }
    assert causes["spec.class"].reason == "FieldValueRequired"
    assert causes["spec.colour"].message == "unknown field"
    assert "a number and a unit" in causes["spec.patience"].message


def test_unknown_fields_are_ignored_only_where_the_client_asks_for_it() -> None:
    data = {**JOB, "spec": {**JOB["spec"], "colour": "red"}, "extra": 1}
    with pytest.raises(ApiError):
        decode(JOB_INPUT, JOBS, data)
    model, warnings = decode(JOB_INPUT, JOBS, data, "Warn")
    assert (model.spec.service, set(warnings)) == (
        "front",
        {'unknown field "spec.colour"', 'unknown field "extra"'},
    )
    assert decode(JOB_INPUT, JOBS, data, "Ignore").warnings == ()
    assert "colour" in data["spec"]
    with pytest.raises(ApiError, match=r"spec\.cores"):
        decode(JOB_INPUT, JOBS, {**data, "spec": {**data["spec"], "cores": 0}}, "Warn")


@settings(derandomize=True, deadline=None)
@given(st.floats(min_value=1, max_value=1e9).map(lambda ms: round(ms, 3)))
def test_a_formatted_duration_is_read_back(ms: float) -> None:
    assert parse_duration(format_duration(ms)) == pytest.approx(ms, rel=1e-9)


@pytest.mark.parametrize(("text", "ms"), [("700 ms", 700), ("1.5s", 1500), (" 2 min ", 120_000), ("0", 0)])
def test_a_duration_is_a_number_and_a_unit(text: str, ms: float) -> None:
    assert parse_duration(text) == ms


@pytest.mark.parametrize("text", ["5", "s", "-1s", "1 fortnight", "1e3ms", "", "1s 2s"])
def test_a_text_that_is_not_a_duration_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="a number and a unit"):
        parse_duration(text)


def test_a_size_is_a_whole_number_and_a_unit() -> None:
    assert parse_size("64 KiB") == 65536
    assert format_size(1 << 20) == "1 MiB"
    assert parse_size(format_size(1000)) == 1000
    with pytest.raises(ValueError, match="a whole number and a unit"):
        parse_size("1.5 MiB")


def test_the_common_clock_never_goes_back_and_follows_the_wall_clock_slowly() -> None:
    wall_s = [1000.0]
    monotonic_s = [50.0]
    clock = CommonClock(lambda: wall_s[0], lambda: monotonic_s[0])
    assert clock.now() == 1_000_000.0
    for step in (0.0, 10.0, -3600.0):
        before = clock.now()
        wall_s[0] += step + 2.0
        monotonic_s[0] += 2.0
        elapsed_ms = clock.now() - before
        assert elapsed_ms == pytest.approx(2000.0, abs=1.0 + 1e-6), step
    assert clock.wall_clock_offset_ms() < -3_500_000.0
    assert clock.now() == clock.now()


def test_a_formatted_timestamp_is_read_back() -> None:
    assert timestamp(0.0) == "1970-01-01T00:00:00.000000Z"
    assert parse_timestamp(timestamp(1_764_590_400_123.456)) == pytest.approx(
        1_764_590_400_123.456, abs=0.001
    )
