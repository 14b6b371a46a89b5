"""The choice among the safe machines."""

from __future__ import annotations

from helpers import (
    Driver,
    actions_of,
    machine,
    saturated_settings,
    settings,
    task_class,
)

from kelpfront.scheduling.actions import (
    Bind,
)


def test_the_least_loaded_of_the_safe_machines_is_chosen() -> None:
    driver = Driver(saturated_settings())
    driver.listing(machine(0, free_cores=2.0), machine(1, free_cores=25.0), machine(2, free_cores=3.0))
    assert driver.bind(1) == 1


def test_own_recent_offers_are_added_to_the_listed_load() -> None:
    driver = Driver(saturated_settings())
    driver.listing(machine(0, free_cores=20.0), machine(1, free_cores=20.0))
    assert driver.bind(1, cores=0.5) != driver.bind(2, cores=0.5)


def test_memory_counts_as_load_where_it_is_nearer_to_its_limit() -> None:
    driver = Driver(saturated_settings())
    driver.listing(machine(0, free_cores=20.0, free_memory=-10.0), machine(1, free_cores=5.0))
    assert driver.bind(1) == 1


def test_a_task_goes_to_a_machine_that_runs_its_service_while_it_serves_in_full() -> None:
    driver = Driver()
    driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in range(6)))
    driver.find(100, 4, service=9)
    assert {driver.bind(n, service=9, after=50.0) for n in range(3)} == {4}


def test_independent_placers_choose_the_same_preferred_machine() -> None:
    chosen = set()
    for index in range(3):
        driver = Driver(settings(replica_index=index), seed=index)
        driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in range(6)))
        chosen.add(driver.bind(1, service=9))
    assert len(chosen) == 1


def test_only_tasks_of_the_lowest_priority_wait_rather_than_overload_a_machine() -> None:
    classes = task_class(priority=0), task_class(priority=2)
    driver = Driver(settings(*classes))
    driver.listing(machine(0, free_cores=1.0))
    assert actions_of(driver.arrive(1, class_index=0), Bind) == []
    assert driver.bind(2, class_index=1) == 0


def test_a_higher_priority_prefers_free_capacity_but_needs_none_if_machines_preempt() -> None:
    classes = task_class(priority=0), task_class(priority=2)
    driver = Driver(settings(*classes, machines_preempt=True))
    driver.listing(machine(0, free_cores=-24.0))
    assert actions_of(driver.arrive(1, class_index=0), Bind) == []
    assert driver.bind(2, class_index=1) == 0
    driver.listing(machine(0, free_cores=-24.0), machine(1), after=10.0)
    assert driver.bind(3, class_index=1) == 1
