"""The resource store: revisions, paged lists, resumed and overflowing watches, and compaction."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.api.selectors import parse_selector
from kelpfront.store import ResourceStore, StoreLimits, Watch


def job_body(name: str, **labels: str) -> dict[str, Any]:
    return {"metadata": {"name": name, "namespace": "climate", "labels": labels}, "spec": {"class": "web"}}


def put(store: ResourceStore, name: str, **labels: str) -> int:
    key = "climate", name
    write = store.update if store.find(JOBS, key) else store.create
    return write(JOBS, key, job_body(name, **labels)).revision


def open_watch(store: ResourceStore, since: int | None = None, labels: str = "", fields: str = "") -> Watch:
    selector = parse_selector(JOBS, labels, fields)
    return store.watch(JOBS, lambda: None, "climate", selector, since)


def take_events(watch: Watch) -> list[tuple[str, str]]:
    return [(event.type.value, event.stored.name) for event in watch.next_events(10_000)]


def status_of(error: pytest.ExceptionInfo[ApiError]) -> tuple[int, str]:
    return error.value.code, error.value.reason


def test_each_change_increases_the_revision_and_stale_writes_are_rejected() -> None:
    store = ResourceStore(100)
    first = store.create(JOBS, ("climate", "a"), job_body("a"))
    assert (first.revision, first.body["metadata"]["resourceVersion"]) == (101, "101")
    second = store.update(JOBS, ("climate", "a"), job_body("a"))
    store.check_revision(JOBS, second, "102")
    store.check_revision(JOBS, second, None)
    with pytest.raises(ApiError) as stale:
        store.check_revision(JOBS, second, "101")
    assert status_of(stale) == (409, "Conflict")
    with pytest.raises(ApiError) as again:
        store.create(JOBS, ("climate", "a"), job_body("a"))
    assert status_of(again) == (409, "AlreadyExists")
    store.delete(JOBS, ("climate", "a"))
    assert store.revision == 103
    with pytest.raises(ApiError) as gone:
        store.get(JOBS, ("climate", "a"))
    assert status_of(gone) == (404, "NotFound")


def test_all_pages_of_a_list_show_one_revision_despite_concurrent_changes() -> None:
    store = ResourceStore(0)
    for n in range(10):
        put(store, f"job-{n}")
    page = store.list_objects(JOBS, "climate", limit=4)
    assert ([s.name for s in page.items], page.remaining) == (["job-0", "job-1", "job-2", "job-3"], 6)
    store.delete(JOBS, ("climate", "job-5"))
    put(store, "job-41")
    second = store.list_objects(JOBS, "climate", limit=4, token=page.continue_token)
    assert [s.name for s in second.items] == ["job-4", "job-5", "job-6", "job-7"]
    again = store.list_objects(JOBS, "climate", limit=4, token=page.continue_token)
    assert [s.name for s in again.items] == [s.name for s in second.items], (
        "the client may not have received the first response"
    )
    last = store.list_objects(JOBS, "climate", limit=4, token=second.continue_token)
    assert [s.name for s in last.items] == ["job-8", "job-9"]
    assert (last.continue_token, last.revision, page.revision) == ("", page.revision, 10)


def test_a_dropped_list_can_be_continued_at_the_current_revision() -> None:
    store = ResourceStore(0, StoreLimits(open_lists=1))
    for n in range(6):
        put(store, f"job-{n}")
    page = store.list_objects(JOBS, limit=2)
    store.list_objects(JOBS, limit=2)
    put(store, "job-21")
    with pytest.raises(ApiError) as error:
        store.list_objects(JOBS, limit=2, token=page.continue_token)
    assert status_of(error) == (410, "Expired")
    rest = store.list_objects(JOBS, limit=9, token=error.value.continue_token)
    assert [s.name for s in rest.items] == ["job-2", "job-21", "job-3", "job-4", "job-5"]


@pytest.mark.parametrize("token", ["x", "AAAA", "WzFd", "!!!", "bnVsbA"])
def test_an_invalid_continue_token_is_a_bad_request(token: str) -> None:
    with pytest.raises(ApiError) as error:
        ResourceStore(0).list_objects(JOBS, limit=2, token=token)
    assert status_of(error) == (400, "BadRequest")


def test_a_watch_starts_with_all_objects_and_resumes_after_a_revision() -> None:
    store = ResourceStore(0)
    put(store, "a")
    put(store, "b")
    first_watch = open_watch(store)
    assert take_events(first_watch) == [("ADDED", "a"), ("ADDED", "b")]
    last_seen_revision = put(store, "a")
    assert take_events(first_watch) == [("MODIFIED", "a")]
    first_watch.close()
    put(store, "c")
    store.delete(JOBS, ("climate", "b"))
    resumed = open_watch(store, last_seen_revision)
    assert take_events(resumed) == [("ADDED", "c"), ("DELETED", "b")]
    assert take_events(resumed) == []
    assert store.watch_count(JOBS) == 1


def test_a_watch_reports_an_object_that_leaves_its_selection_as_deleted() -> None:
    store = ResourceStore(0)
    blue = open_watch(store, 0, labels="team=blue")
    put(store, "a", team="blue")
    put(store, "a", team="red")
    put(store, "a", team="blue")
    put(store, "b", team="red")
    assert take_events(blue) == [("ADDED", "a"), ("DELETED", "a"), ("ADDED", "a")]


def test_a_watch_of_one_name_receives_only_changes_of_that_object() -> None:
    store = ResourceStore(0)
    put(store, "a")
    start = store.revision
    one = open_watch(store, start, fields="metadata.name=b")
    for name in ("a", "b", "a", "b"):
        put(store, name)
    assert take_events(one) == [("ADDED", "b"), ("MODIFIED", "b")]
    one.close()
    assert take_events(open_watch(store, start, fields="metadata.name=b")) == [
        ("ADDED", "b"),
        ("MODIFIED", "b"),
    ]


def test_a_slow_watch_expires_without_delaying_others() -> None:
    store = ResourceStore(0, StoreLimits(watch_buffer_events=5))
    wakes: list[int] = []
    slow = store.watch(JOBS, lambda: wakes.append(1), "climate", since_revision=0)
    quick = open_watch(store, 0)
    for n in range(8):
        put(store, f"job-{n}")
        take_events(quick)
    assert slow.expired
    assert not quick.expired
    assert (take_events(slow), len(wakes)) == ([], 2), "one call for the first event and one for the overflow"
    assert store.revision == 8


def test_a_watch_from_a_revision_outside_the_history_is_rejected() -> None:
    store = ResourceStore(1000, StoreLimits(history_weight=5))
    start = store.revision
    for n in range(8):
        put(store, f"job-{n}")
    for since in (start, 1002, 5000):  # two compacted revisions, and one that this store never had
        with pytest.raises(ApiError) as error:
            open_watch(store, since)
        assert status_of(error) == (410, "Expired")
    assert len(take_events(open_watch(store, 1003))) == 5
    put(store, "job-7")
    assert take_events(open_watch(store, 1008, fields="metadata.name=job-7")) == [("MODIFIED", "job-7")]


def test_the_weight_of_an_object_counts_towards_the_history_limit() -> None:
    store = ResourceStore(0, StoreLimits(history_weight=100))
    store.create(JOBS, ("climate", "big"), job_body("big"), weight=80)
    for n in range(30):
        put(store, f"job-{n}")
    with pytest.raises(ApiError):
        open_watch(store, 0)
    assert len(take_events(open_watch(store, 1))) == 30


def test_exceeding_the_limits_raises_too_many_requests() -> None:
    store = ResourceStore(0, StoreLimits(objects=2, watches=1))
    put(store, "a")
    store.create(MACHINES, ("", "n1"), {"metadata": {"name": "n1"}})
    with pytest.raises(ApiError) as full:
        put(store, "b")
    assert status_of(full) == (429, "TooManyRequests")
    only_watch = open_watch(store)
    with pytest.raises(ApiError) as watches:
        open_watch(store)
    assert status_of(watches) == (429, "TooManyRequests")
    only_watch.close()
    open_watch(store)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.sampled_from(["put blue", "put red", "delete"])), max_size=40
    ),
    st.data(),
)
def test_events_of_an_interrupted_watch_reproduce_the_listed_objects(
    changes: list[tuple[str, str]], data: st.DataObject
) -> None:
    """A client applies the events of a watch that it closes and resumes; its view must equal a fresh list."""
    store = ResourceStore(0)
    selector = data.draw(st.sampled_from(["", "team=blue", "team!=blue"]))
    view: dict[str, int] = {}
    revision = store.list_objects(JOBS, "climate").revision
    watch = open_watch(store, revision, labels=selector)
    for name, change in changes:
        if change == "delete":
            if store.find(JOBS, ("climate", name)):
                store.delete(JOBS, ("climate", name))
        else:
            put(store, name, team=change.split()[1])
        if data.draw(st.booleans()):
            for event in watch.next_events(data.draw(st.integers(0, 3))):
                revision = event.revision
                if event.type == "DELETED":
                    del view[event.stored.name]
                else:
                    assert (event.type == "ADDED") == (event.stored.name not in view)
                    view[event.stored.name] = event.stored.revision
            if data.draw(st.booleans()):
                watch.close()
                watch = open_watch(store, revision, labels=selector)
    for event in watch.next_events(1000):
        if event.type == "DELETED":
            del view[event.stored.name]
        else:
            view[event.stored.name] = event.stored.revision
    listed = store.list_objects(JOBS, "climate", parse_selector(JOBS, selector, "")).items
    assert view == {stored.name: stored.revision for stored in listed}
