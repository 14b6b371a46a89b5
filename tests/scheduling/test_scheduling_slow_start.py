"""What all placers together may offer to a warming machine, over any window of the settings' length.

Many schedulers run on one virtual time, each by its own clock, and always have more work than they may
offer. An offer counts anywhere between its bind and the last instant at which it may still be written.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

import pytest
from helpers import (
    Driver,
    actions_of,
    full_list,
    machine,
    settings,
)
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from kelpfront import Scheduler
from kelpfront.scheduling.actions import Bind
from kelpfront.scheduling.events import (
    AttemptClosed,
    AttemptOutcome,
    Endpoint,
    EndpointListKind,
    MachineState,
    OutcomeReason,
    SchedulerEvent,
    TaskArrived,
    TaskWithdrawn,
)

WINDOW, CONNECT = 1500.0, 200.0
BEGIN = 1_800_000_000_000.0
IDENT = 0x5A17


class WarmingFleet:
    """Placers, and for each machine the first and last instant of each offer."""

    def __init__(
        self, placers: int, limit: float, warming: tuple[Endpoint, ...] = (), indexes: range | None = None
    ) -> None:
        base = settings(replica_count=placers, connect_timeout_ms=CONNECT)
        rules = replace(base.slow_start, window_ms=WINDOW, max_offers_per_window=limit, duration_ms=1e9)
        self.settings = replace(base, slow_start=rules)
        self.listed = warming or (machine(IDENT, started_at=BEGIN - 10.0),)
        self.limit = limit
        self.indexes = indexes or range(placers)
        self.schedulers = {placer: self.start(placer) for placer in self.indexes}
        self.clock_ahead_ms = dict.fromkeys(self.indexes, 0.0)  # of each placer's clock, in milliseconds
        self.offers: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.tasks = 0

    def start(self, placer: int, incarnation: int = 0) -> Scheduler:
        return Scheduler(replace(self.settings, replica_index=placer), seed=placer + 1000 * incarnation)

    def list_machines(
        self, placer: int, at: float, *machines: Endpoint, kind: EndpointListKind = EndpointListKind.FULL
    ) -> None:
        self.handle(placer, at, full_list(*(machines or self.listed), kind=kind))

    def handle(self, placer: int, at: float, event: SchedulerEvent) -> list[Bind]:
        return actions_of(self.schedulers[placer].handle(at + self.clock_ahead_ms[placer], event), Bind)

    def spend(self, placer: int, at: float, size: float = 1e-6) -> int:
        """The placer offers all that it may at this instant; the number."""
        for made in range(10_000):
            self.tasks += 1
            arrived = TaskArrived(self.tasks, 0, self.tasks, size, size, 4000.0)
            binds = self.handle(placer, at, arrived)
            if not binds:
                self.handle(placer, at, TaskWithdrawn(self.tasks))
                return made
            (bind,) = binds
            until = at + min(bind.timeout_ms, bind.send_within_ms)
            self.offers[bind.machine].append((at, until))
            closed = AttemptClosed(
                self.tasks,
                0,
                bind.machine,
                AttemptOutcome.REJECTED,
                OutcomeReason.NOT_HERE,
                task_finished=True,
                elapsed_ms=1.0,
            )
            self.handle(placer, at, closed)
        raise AssertionError("no end of offers")

    def worst(self) -> int:
        """The most offers that any machine may see in any window."""
        return max((max_in_a_window(offers) for offers in self.offers.values()), default=0)


def max_in_a_window(offers: list[tuple[float, float]]) -> int:
    """Each offer falls anywhere in its interval; windows are half open."""
    marks = sorted([(first, 1) for first, _ in offers] + [(last + WINDOW, -1) for _, last in offers])
    highest = open_offers = 0
    for _, change in sorted(marks):
        open_offers += change
        highest = max(highest, open_offers)
    return highest


def allowed_by_chance(limit: float) -> float:
    return limit + 2 * math.sqrt(limit) + 2


def slot_ms() -> float:
    return (WINDOW + CONNECT) / 3


def instants(slots: int, pivot: int, chance: random.Random | None = None) -> Callable[[], list[float]]:
    """One instant in each slot: its end before the pivot and its start from there on, or any."""
    begin = math.ceil(BEGIN / slot_ms()) + 1

    def draw() -> list[float]:
        parts = [0.99 if n < pivot else 0.001 for n in range(slots)]
        if chance is not None:
            parts = [chance.choice([part, part, chance.random()]) for part in parts]
        return [(begin + n + part) * slot_ms() for n, part in enumerate(parts)]

    return draw


def spend_all(fleet: WarmingFleet, draw: Callable[[], list[float]]) -> None:
    """Each placer offers all that it may once in each of its slots, in the order of time."""
    slots = [(at - fleet.clock_ahead_ms[placer], placer) for placer in fleet.indexes for at in draw()]
    for at, placer in sorted(slots):
        fleet.spend(placer, at)


LIMITS = st.sampled_from([1, 2, 3, 5, 9, 10, 20, 30, 57, 120, 250])
PLACERS = st.sampled_from([3, 20, 30, 60])


@runs(max_examples=60)
@given(PLACERS, LIMITS, st.integers(0, 2**48), st.integers(1, 12), st.integers(0, 2**32))
def test_no_window_exceeds_the_limit_though_connections_are_late_and_clocks_differ(
    placers: int, limit: int, ident: int, pivot: int, seed: int
) -> None:
    """Guards against offers that wait for a connection until their time-out, and are sent in a later slot."""
    chance = random.Random(seed)
    fleet = WarmingFleet(placers, limit, (machine(ident, started_at=BEGIN - 10.0),))
    for placer in fleet.indexes:
        fleet.clock_ahead_ms[placer] = chance.choice([0.0, CONNECT / 2, chance.uniform(0.0, CONNECT / 2)])
        fleet.list_machines(placer, BEGIN)
    spend_all(fleet, instants(13, pivot, chance))
    assert fleet.worst() <= limit


@runs(max_examples=60)
@given(PLACERS, LIMITS, st.integers(1, 12), st.integers(0, 2**32))
def test_no_window_exceeds_the_limit_though_placers_restart_and_the_machine_is_relisted(
    placers: int, limit: int, pivot: int, seed: int
) -> None:
    """Guards against offers of one slot that are made twice: by two incarnations of a placer or of an entry.

    Placers also learn of the machine one after another, and a restarted one has another seed.
    """
    chance = random.Random(seed)
    fleet = WarmingFleet(placers, limit)
    removed = replace(fleet.listed[0], state=MachineState.REMOVED)
    listed_to: set[int] = set()
    for at, placer in sorted(
        (at, placer) for placer in fleet.indexes for at in instants(13, pivot, chance)()
    ):
        if placer not in listed_to:
            if chance.random() < 0.5:
                fleet.list_machines(placer, at)
                listed_to.add(placer)
            continue
        fleet.spend(placer, at)
        match chance.randrange(4):
            case 0:
                fleet.schedulers[placer] = fleet.start(placer, chance.randrange(100))
                fleet.list_machines(placer, at + 0.1)
            case 1:
                fleet.list_machines(placer, at + 0.1, removed, kind=EndpointListKind.CHANGES)
                fleet.list_machines(placer, at + 0.2, kind=EndpointListKind.CHANGES)
        fleet.spend(placer, at + 0.3)
    assert fleet.worst() <= limit


@runs(max_examples=150)
@given(
    st.sampled_from([20, 30, 60]),
    LIMITS,
    st.sampled_from([0.1, 0.3, 0.5, 0.7]),
    st.floats(-12.0, 12.0),
    st.integers(0, 2**32),
)
def test_clocks_that_were_stepped_between_restarts_add_no_more_than_chance(
    placers: int, limit: int, share: float, slots: float, seed: int
) -> None:
    """Placers that restart after a step of the wall clock go by it; the others are slewed, for hours.

    They restart in the order of their indexes. Guards against slots that go by indexes too: one part of the
    placers then has all offers of some seconds, and the other part has its own by another clock meanwhile.
    """
    chance = random.Random(seed)
    fleet = WarmingFleet(placers, limit, (machine(chance.getrandbits(48), started_at=BEGIN - 10.0),))
    first = chance.randrange(placers)
    for number in range(round(share * placers)):
        fleet.clock_ahead_ms[(first + number) % placers] = slots * slot_ms()
    for placer in fleet.indexes:
        fleet.list_machines(placer, BEGIN - 20.0 * slot_ms())
    spend_all(fleet, instants(24, 12, chance))
    assert fleet.worst() <= allowed_by_chance(limit)


@pytest.mark.parametrize("limit", [5, 57, 250])
@pytest.mark.parametrize("beyond", [1, 10, 20])
def test_placers_beyond_the_replica_count_have_no_offers(beyond: int, limit: int) -> None:
    """Guards against a fleet that outgrew its settings: index 20 of 20 took the offers of index 0."""
    fleet = WarmingFleet(20, limit, indexes=range(20 + beyond))
    for placer in fleet.indexes:
        fleet.list_machines(placer, BEGIN)
    spend_all(fleet, instants(9, 5))
    assert fleet.worst() <= limit


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("limit", [9, 57])
@pytest.mark.parametrize("placers", [3, 20, 30, 60])
def test_three_quarters_of_the_limit_go_out_over_a_long_time(placers: int, limit: int, seed: int) -> None:
    """The whole limit goes out in four slots, so over a long time a window has three quarters of it.

    The slots are lengthened by a connect time-out, which takes its part. Guards against starvation.
    """
    fleet = WarmingFleet(placers, limit, (machine(seed * 977, started_at=BEGIN - 10.0),))
    for placer in fleet.indexes:
        fleet.list_machines(placer, BEGIN)
    spend_all(fleet, instants(40, 40, random.Random(seed)))
    assert sum(len(offers) for offers in fleet.offers.values()) == 10 * limit


def test_a_warming_machine_whose_connections_do_not_come_up_is_ejected() -> None:
    """Its offers wait for less than a connect time-out, so that their end is another: not sent."""
    its = settings(replica_count=1)
    driver = Driver(replace(its, slow_start=replace(its.slow_start, max_offers_per_window=400.0)))
    driver.listing(machine(1), machine(2))
    driver.now = 60_000.0
    driver.listing(machine(1, started_at=driver.now - 10.0), kind=EndpointListKind.CHANGES)
    went: list[int] = []
    for task in range(60):
        (bind,) = actions_of(driver.arrive(task, service=task, cores=0.01, memory=0.01), Bind)
        went.append(bind.machine)
        if bind.machine == 1 and went.count(1) <= 2:
            assert bind.send_within_ms == its.connect_timeout_ms / 2
            driver.close(task, 0, 1, AttemptOutcome.NOT_SENT, task_finished=True, after=bind.send_within_ms)
    assert went.count(1) == 2
    assert went[-1] == 2


@pytest.mark.parametrize(("placers", "limit"), [(1, 7), (3, 7), (220, 60), (220, 3), (2, 1)])
def test_all_placers_together_keep_the_limit_of_a_warming_machine_and_use_it(
    placers: int, limit: int
) -> None:
    base = settings(replica_count=placers)
    rules = replace(base.slow_start, max_offers_per_window=float(limit))
    drivers = [Driver(replace(base, replica_index=placer, slow_start=rules)) for placer in range(placers)]
    for driver in drivers:
        driver.listing(machine(1))
        driver.now = 60_000.0
        driver.listing(machine(1, started_at=driver.now - 10.0), kind=EndpointListKind.CHANGES)
    sent: list[float] = []
    for step in range(60):
        at = 60_000.0 + step * 150.0
        for placer, driver in enumerate(drivers):
            driver.now = at
            actions = driver.arrive(step * 1000 + placer, cores=0.001, memory=0.001)
            for bound in actions_of(actions, Bind):
                sent.append(at)
                driver.close(
                    bound.task, 0, 1, AttemptOutcome.REJECTED, OutcomeReason.NOT_HERE, task_finished=True
                )
    assert sent
    for at in sent:
        assert sum(at - rules.window_ms < other <= at for other in sent) <= limit


def test_a_placer_that_has_just_started_offers_a_warming_machine_nothing() -> None:
    driver = Driver()
    driver.listing(machine(1, started_at=driver.now - 10.0), kind=EndpointListKind.CACHED)
    assert actions_of(driver.arrive(5), Bind) == []
