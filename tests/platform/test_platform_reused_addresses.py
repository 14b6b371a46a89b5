"""A new machine at the address of one that has gone, before the endpoint list reports that it has gone."""

from __future__ import annotations

import pytest
from core_stage import CoreFixture

from kelpfront.lab.platform import CALL, Json, event, member, offer
from kelpfront.platform.intents import ForgetMachine, Offer
from kelpfront.platform.messages import Cause, machine_id

ADDRESS, OTHER_ADDRESS = "127.0.0.1:5071", "127.0.0.1:5072"
OLD = member("m-old", ADDRESS)
STARTED_MS = 1_790_000_000_500.0
NEW = member("m-new", ADDRESS, up_since_ms=STARTED_MS)


def stage_with_task() -> CoreFixture:
    """Return a core with one machine, which runs a task."""
    stage = CoreFixture(OLD)
    stage.place()
    return stage


def tell(stage: CoreFixture, index: int, *members: Json, whole: bool = False) -> None:
    stage.events({"index": index, "updates": [event(index, *members, whole=whole)]})


@pytest.mark.parametrize(
    ("members", "whole"),
    [([NEW], False), ([OLD, NEW], True), ([NEW, OLD], True), ([NEW], True)],
    ids=["change", "old one first", "new one first", "new one alone"],
)
def test_a_new_machine_at_an_address_ends_the_tasks_of_the_one_that_was_there(
    members: list[Json], *, whole: bool
) -> None:
    """Guards against a new process that is taken for the old one, whose tasks then never end."""
    stage = stage_with_task()
    tell(stage, 2, *members, whole=whole)
    assert set(stage.core.endpoints.machines) == {machine_id("m-new")}
    assert [intent.machine for intent in stage.intents_of(ForgetMachine)] == [machine_id("m-old")]
    (_, ended) = stage.sent_to_clients[-1]
    assert (ended["call"], ended["op"], ended["why"]) == (CALL, "end", Cause.TEMPORARY_FAILURE)
    assert stage.core.counters.tasks_lost == 1


def test_nothing_is_offered_to_a_replaced_machine_that_the_list_still_calls_ready() -> None:
    """Guards against work that goes to the wrong machine, because it is sent to the old one's address."""
    stage = stage_with_task()
    tell(stage, 2, NEW)
    tell(stage, 3, OLD)  # a change of its free capacity, for example
    for number in range(20):
        stage.client(offer(f"{number:016x}"))
    offers = [intent for intent in stage.intents_of(Offer) if intent.request_id != CALL]
    assert {intent.machine for intent in offers} <= {machine_id("m-new")}
    assert set(stage.core.endpoints.machines) == {machine_id("m-new")}


def test_a_machine_may_return_to_an_address_that_the_newer_one_has_left() -> None:
    stage = stage_with_task()
    tell(stage, 2, NEW)
    tell(stage, 3, NEW | {"phase": "Gone"}, member("m-old", ADDRESS, up_since_ms=STARTED_MS + 1.0))
    assert set(stage.core.endpoints.machines) == {machine_id("m-old")}
    tell(stage, 4, member("m-new", OTHER_ADDRESS, up_since_ms=STARTED_MS + 2.0))
    assert set(stage.core.endpoints.machines) == {machine_id("m-old"), machine_id("m-new")}


def test_a_machine_that_moves_away_leaves_its_address_to_others() -> None:
    stage = stage_with_task()
    tell(stage, 2, OLD | {"host_port": OTHER_ADDRESS})
    tell(stage, 3, NEW)
    assert set(stage.core.endpoints.machines) == {machine_id("m-old"), machine_id("m-new")}
    assert not stage.core.counters.tasks_lost


def test_machines_of_the_same_start_time_at_one_address_are_both_kept() -> None:
    """Which of them is the newer one cannot be told."""
    stage = stage_with_task()
    tell(stage, 2, member("m-new", ADDRESS))
    assert set(stage.core.endpoints.machines) == {machine_id("m-old"), machine_id("m-new")}


@pytest.mark.parametrize("whole", [False, True])
def test_a_machine_that_has_gone_does_not_keep_its_address(*, whole: bool) -> None:
    """Guards against a machine that is taken for replaced because the former one had started later."""
    stage = stage_with_task()
    tell(stage, 2, member("m-old", ADDRESS, up_since_ms=STARTED_MS + 1.0))
    gone = [] if whole else [OLD | {"phase": "Gone"}]
    tell(stage, 3, *gone, NEW, whole=whole)
    assert set(stage.core.endpoints.machines) == {machine_id("m-new")}
