"""The resource store: revisions, lists in pages, watches that resume, overflow and compaction."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.api.selectors import parse_selector
from kelpfront.store import ResourceStore, StoreLimits, Watch


def body(name: str, **labels: str) -> dict[str, Any]:
    return {"metadata": {"name": name, "namespace": "climate", "labels": labels}, "spec": {"class": "web"}}


def put(store: ResourceStore, name: str, **labels: str) -> int:
    key = "climate", name
    write = store.update if store.find(JOBS, key) else store.create
    return write(JOBS, key, body(name, **labels)).revision


def watch(store: ResourceStore, since: int | None = None, labels: str = "", fields: str = "") -> Watch:
    selector = parse_selector(JOBS, labels, fields)
    return store.watch(JOBS, lambda: None, "climate", selector, since)


def drain(its_watch: Watch) -> list[tuple[str, str]]:
    return [(event.type.value, event.stored.name) for event in its_watch.next_events(10_000)]


def status_of(error: pytest.ExceptionInfo[ApiError]) -> tuple[int, str]:
    return error.value.code, error.value.reason


def test_the_revision_grows_with_each_change_and_stale_writes_are_refused() -> None:
    store = ResourceStore(100)
    first = store.create(JOBS, ("climate", "a"), body("a"))
    assert (first.revision, first.body["metadata"]["resourceVersion"]) == (101, "101")
    second = store.update(JOBS, ("climate", "a"), body("a"))
    store.check_revision(JOBS, second, "102")
    store.check_revision(JOBS, second, None)
    with pytest.raises(ApiError) as stale:
        store.check_revision(JOBS, second, "101")
    assert status_of(stale) == (409, "Conflict")
    with pytest.raises(ApiError) as again:
        store.create(JOBS, ("climate", "a"), body("a"))
    assert status_of(again) == (409, "AlreadyExists")
    store.delete(JOBS, ("climate", "a"))
    assert store.revision == 103
    with pytest.raises(ApiError) as gone:
        store.get(JOBS, ("climate", "a"))
    assert status_of(gone) == (404, "NotFound")


def test_the_pages_of_a_list_show_one_revision_whatever_changes_meanwhile() -> None:
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
    assert [s.name for s in again.items] == [s.name for s in second.items], "an answer may have been lost"
    last = store.list_objects(JOBS, "climate", limit=4, token=second.continue_token)
    assert [s.name for s in last.items] == ["job-8", "job-9"]
    assert (last.continue_token, last.revision, page.revision) == ("", page.revision, 10)


def test_a_dropped_list_can_be_continued_at_the_present_revision() -> None:
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
def test_an_unknown_continue_token_is_a_bad_request(token: str) -> None:
    with pytest.raises(ApiError) as error:
        ResourceStore(0).list_objects(JOBS, limit=2, token=token)
    assert status_of(error) == (400, "BadRequest")


def test_a_watch_starts_with_all_objects_and_resumes_where_it_was_cut() -> None:
    store = ResourceStore(0)
    put(store, "a")
    put(store, "b")
    first_watch = watch(store)
    assert drain(first_watch) == [("ADDED", "a"), ("ADDED", "b")]
    cut_at = put(store, "a")
    assert drain(first_watch) == [("MODIFIED", "a")]
    first_watch.close()
    put(store, "c")
    store.delete(JOBS, ("climate", "b"))
    resumed = watch(store, cut_at)
    assert drain(resumed) == [("ADDED", "c"), ("DELETED", "b")]
    assert drain(resumed) == []
    assert store.watch_count(JOBS) == 1


def test_an_object_that_leaves_the_selection_is_deleted_to_the_watch() -> None:
    store = ResourceStore(0)
    blue = watch(store, 0, labels="team=blue")
    put(store, "a", team="blue")
    put(store, "a", team="red")
    put(store, "a", team="blue")
    put(store, "b", team="red")
    assert drain(blue) == [("ADDED", "a"), ("DELETED", "a"), ("ADDED", "a")]


def test_a_watch_of_one_name_receives_only_changes_of_that_object() -> None:
    store = ResourceStore(0)
    put(store, "a")
    start = store.revision
    one = watch(store, start, fields="metadata.name=b")
    for name in ("a", "b", "a", "b"):
        put(store, name)
    assert drain(one) == [("ADDED", "b"), ("MODIFIED", "b")]
    one.close()
    assert drain(watch(store, start, fields="metadata.name=b")) == [("ADDED", "b"), ("MODIFIED", "b")]


def test_a_slow_watch_expires_and_delays_nobody() -> None:
    store = ResourceStore(0, StoreLimits(watch_buffer_events=5))
    wakes: list[int] = []
    slow = store.watch(JOBS, lambda: wakes.append(1), "climate", since_revision=0)
    quick = watch(store, 0)
    for n in range(8):
        put(store, f"job-{n}")
        drain(quick)
    assert slow.expired
    assert not quick.expired
    assert (drain(slow), len(wakes)) == ([], 2), "woken for the first event and for the overflow"
    assert store.revision == 8


def test_a_watch_from_a_revision_that_the_history_does_not_have_is_refused() -> None:
    store = ResourceStore(1000, StoreLimits(history_weight=5))
    start = store.revision
    for n in range(8):
        put(store, f"job-{n}")
    for since in (start, 1002, 5000):  # compacted, compacted, and of an earlier or other store
        with pytest.raises(ApiError) as error:
            watch(store, since)
        assert status_of(error) == (410, "Expired")
    assert len(drain(watch(store, 1003))) == 5
    put(store, "job-7")
    assert drain(watch(store, 1008, fields="metadata.name=job-7")) == [("MODIFIED", "job-7")]


def test_a_large_object_counts_by_its_weight_in_the_history() -> None:
    store = ResourceStore(0, StoreLimits(history_weight=100))
    store.create(JOBS, ("climate", "big"), body("big"), weight=80)
    for n in range(30):
        put(store, f"job-{n}")
    with pytest.raises(ApiError):
        watch(store, 0)
    assert len(drain(watch(store, 1))) == 30


def test_reached_limits_are_answered_with_too_many_requests() -> None:
    store = ResourceStore(0, StoreLimits(objects=2, watches=1))
    put(store, "a")
    store.create(MACHINES, ("", "n1"), {"metadata": {"name": "n1"}})
    with pytest.raises(ApiError) as full:
        put(store, "b")
    assert status_of(full) == (429, "TooManyRequests")
    open_watch = watch(store)
    with pytest.raises(ApiError) as watches:
        watch(store)
    assert status_of(watches) == (429, "TooManyRequests")
    open_watch.close()
    watch(store)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.sampled_from(["put blue", "put red", "delete"])), max_size=40
    ),
    st.data(),
)
def test_a_watch_that_is_cut_anywhere_leads_to_the_listed_objects(
    changes: list[tuple[str, str]], data: st.DataObject
) -> None:
    """What a client builds from a list and a watch with cuts equals a fresh list, for any selection."""
    store = ResourceStore(0)
    selector = data.draw(st.sampled_from(["", "team=blue", "team!=blue"]))
    view: dict[str, int] = {}
    revision = store.list_objects(JOBS, "climate").revision
    its_watch = watch(store, revision, labels=selector)
    for name, change in changes:
        if change == "delete":
            if store.find(JOBS, ("climate", name)):
                store.delete(JOBS, ("climate", name))
        else:
            put(store, name, team=change.split()[1])
        if data.draw(st.booleans()):
            for event in its_watch.next_events(data.draw(st.integers(0, 3))):
                revision = event.revision
                if event.type == "DELETED":
                    del view[event.stored.name]
                else:
                    assert (event.type == "ADDED") == (event.stored.name not in view)
                    view[event.stored.name] = event.stored.revision
            if data.draw(st.booleans()):
                its_watch.close()
                its_watch = watch(store, revision, labels=selector)
    for event in its_watch.next_events(1000):
        if event.type == "DELETED":
            del view[event.stored.name]
        else:
            view[event.stored.name] = event.stored.revision
    listed = store.list_objects(JOBS, "climate", parse_selector(JOBS, selector, "")).items
    assert view == {stored.name: stored.revision for stored in listed}
