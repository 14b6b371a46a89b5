"""The scheduler as a whole: what its parts must not do to each other."""

from __future__ import annotations

import gc
import weakref

from helpers import Driver, machine, place_many, settings, task_class

from kelpfront.scheduling.settings import Idempotency


def test_a_scheduler_is_freed_without_the_garbage_collector() -> None:
    """Guards against parts that refer to each other in a circle: a host drops many schedulers in a run."""
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENT)))
    driver.listing(*(machine(n) for n in range(6)))
    place_many(driver, range(20))
    is_collected_automatically = gc.isenabled()
    gc.disable()
    try:
        freed = weakref.ref(driver.scheduler)
        parts = [weakref.ref(part) for part in vars(driver.scheduler).values() if hasattr(part, "__dict__")]
        del driver
        assert freed() is None
        assert [part() for part in parts if part() is not None] == []
    finally:
        if is_collected_automatically:
            gc.enable()
