"""Capacity by usage: load reports, and migrations of poorly served tasks."""

from __future__ import annotations

import pytest
from helpers import (
    Driver,
    machine,
    only_action,
    settings,
    task_class,
)

from kelpfront.scheduling.actions import (
    Migrate,
)
from kelpfront.scheduling.events import (
    LoadReport,
    StatusTopic,
    TaskStatusReported,
)


@pytest.mark.parametrize(("age_ms", "is_avoided"), [(0.0, True), (5000.0, False)])
def test_a_machine_with_high_usage_is_avoided_even_if_little_is_requested(
    *, age_ms: float, is_avoided: bool
) -> None:
    driver = Driver()
    driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in range(3)))
    driver.find(100, 2, service=9)
    driver.report_load(2, LoadReport(1.0, 40.0))
    assert (driver.bind(1, service=9, after=age_ms) != 2) == is_avoided


def test_a_machine_with_high_memory_usage_is_avoided() -> None:
    driver = Driver()
    driver.listing(machine(0, free_memory=30.0), machine(1, free_memory=30.0))
    driver.find(100, 1, service=9)
    driver.report_load(1, LoadReport(20.0, 2.0))
    assert driver.bind(1, service=9) == 0


@pytest.mark.parametrize(("free_cores", "is_kept"), [(2.6, True), (0.9, False)])
def test_a_preferred_machine_is_kept_until_its_service_drops_too_far(
    *, free_cores: float, is_kept: bool
) -> None:
    # The class gets three quarters of full service at a utilization of 0.95 of 30 cores.
    driver = Driver(settings(task_class(full_service_utilization=0.9, degradation_range=0.2)))
    driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in range(3)))
    driver.find(100, 2, service=9)
    driver.report_load(2, LoadReport(free_cores, 40.0))
    assert (driver.bind(1, service=9) == 2) == is_kept


def test_a_poorly_served_task_is_migrated_if_another_machine_has_capacity() -> None:
    driver = Driver()
    driver.listing(machine(0))
    first = driver.bind(1)
    driver.place(1, 0, first)
    assert driver.send(TaskStatusReported(1, 0, first, StatusTopic.SERVICE, 0.05), after=3000.0) == []
    driver.listing(machine(0), machine(1), after=10.0)
    assert driver.send(TaskStatusReported(1, 0, first, StatusTopic.SERVICE, 0.9)) == []
    badly_served = TaskStatusReported(1, 0, first, StatusTopic.SERVICE, 0.05)
    assert only_action(driver.send(badly_served), Migrate).task == 1
    assert driver.send(badly_served) == []
