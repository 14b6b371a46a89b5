"""The assembled scheduler: its components must not keep each other alive."""

from __future__ import annotations

import gc
import weakref

from helpers import Driver, machine, place_many, settings, task_class

from kelpfront.scheduling.settings import Idempotency


def test_a_scheduler_is_freed_without_the_garbage_collector() -> None:
    """Guards against reference cycles between components: a simulator run drops many schedulers."""
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENT)))
    driver.listing(*(machine(n) for n in range(6)))
    place_many(driver, range(20))
    is_collected_automatically = gc.isenabled()
    gc.disable()
    try:
        freed = weakref.ref(driver.scheduler)
        components = [
            weakref.ref(component)
            for component in vars(driver.scheduler).values()
            if hasattr(component, "__dict__")
        ]
        del driver
        assert freed() is None
        assert [component() for component in components if component() is not None] == []
    finally:
        if is_collected_automatically:
            gc.enable()
