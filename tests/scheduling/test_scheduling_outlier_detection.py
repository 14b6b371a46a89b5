"""Outlier detection: machines whose attempts fail are ejected, and return after one trial attempt."""

from __future__ import annotations

from helpers import (
    Driver,
    machine,
    settings,
    task_class,
)

from kelpfront.scheduling.actions import (
    LogMachineEjected,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    OutcomeReason,
)


def test_a_machine_that_times_out_is_ejected_and_returns_after_one_trial_attempt() -> None:
    driver = Driver()
    driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in (1, 2, 3)))
    driver.find(100, 2, service=9)  # makes machine 2 the first choice for the service
    for task in (1, 2):
        assert driver.bind(task, service=9) == 2
        driver.close(task, 0, 2, AttemptOutcome.TIMED_OUT, task_finished=True, after=5.0)
    assert any(isinstance(a, LogMachineEjected) and a.cause == "timed out" for _, a in driver.history)
    assert driver.bind(3, service=9) != 2
    driver.close(3, 0, 1, AttemptOutcome.ENDED, task_finished=True)
    driver.now += 20_000.0
    driver.find(101, 2, service=50)
    machines = [driver.bind(task, service=50) for task in range(4, 12)]
    assert machines[0] == 2  # running tasks do not prevent the trial
    assert 2 not in machines[1:]
    driver.place(4, 0, 2)
    driver.find(102, 2, service=60)
    assert driver.bind(20, service=60) == 2


def test_a_machine_that_rejects_one_class_serves_others_until_two_classes_fail() -> None:
    classes = [task_class(name=name) for name in ("a", "b", "c")]
    driver = Driver(settings(*classes))
    driver.listing(machine(0, free_cores=29.0, free_memory=49.0), machine(1))
    for class_index in range(3):
        driver.find(50 + class_index, 0, class_index=class_index, service=9 + class_index)
    for class_index in (0, 1):
        assert driver.bind(class_index, class_index=class_index, service=9 + class_index) == 0
        driver.close(class_index, 0, 0, AttemptOutcome.REJECTED, OutcomeReason.UNSPECIFIED)
        assert driver.bind(20 + class_index, class_index=class_index, service=9 + class_index) == 1
        other = driver.bind(30 + class_index, class_index=2, service=11, after=10.0)
        assert other == (0 if class_index == 0 else 1)
        driver.place(30 + class_index, 0, other)
