"""The limit of offers that all placers together make to a warming machine in any window.

Many schedulers run in one virtual time, each with its own clock, and always have more tasks than they may
offer. An offer may count at any instant between its bind and the last instant at which it may still be sent.
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

WINDOW_MS, CONNECT_TIMEOUT_MS = 1500.0, 200.0
START_MS = 1_800_000_000_000.0
MACHINE_ID = 0x5A17


class WarmingFleet:
    """Placers, and for each machine the first and last possible instant of each offer."""

    def __init__(
        self, placers: int, limit: float, warming: tuple[Endpoint, ...] = (), indexes: range | None = None
    ) -> None:
        base = settings(replica_count=placers, connect_timeout_ms=CONNECT_TIMEOUT_MS)
        rules = replace(base.slow_start, window_ms=WINDOW_MS, max_offers_per_window=limit, duration_ms=1e9)
        self.settings = replace(base, slow_start=rules)
        self.listed = warming or (machine(MACHINE_ID, started_at=START_MS - 10.0),)
        self.limit = limit
        self.indexes = indexes or range(placers)
        self.schedulers = {placer: self.start_scheduler(placer) for placer in self.indexes}
        self.clock_ahead_ms = dict.fromkeys(self.indexes, 0.0)  # offset of each placer's clock
        self.offers: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.task_count = 0

    def start_scheduler(self, placer: int, incarnation: int = 0) -> Scheduler:
        return Scheduler(replace(self.settings, replica_index=placer), seed=placer + 1000 * incarnation)

    def list_machines(
        self, placer: int, at: float, *machines: Endpoint, kind: EndpointListKind = EndpointListKind.FULL
    ) -> None:
        self.handle(placer, at, full_list(*(machines or self.listed), kind=kind))

    def handle(self, placer: int, at: float, event: SchedulerEvent) -> list[Bind]:
        return actions_of(self.schedulers[placer].handle(at + self.clock_ahead_ms[placer], event), Bind)

    def use_all_offers(self, placer: int, at: float, size: float = 1e-6) -> int:
        """Let the placer make all the offers that it may at this instant, and return their number."""
        for offer_count in range(10_000):
            self.task_count += 1
            arrived = TaskArrived(self.task_count, 0, self.task_count, size, size, 4000.0)
            binds = self.handle(placer, at, arrived)
            if not binds:
                self.handle(placer, at, TaskWithdrawn(self.task_count))
                return offer_count
            (bind,) = binds
            until = at + min(bind.timeout_ms, bind.send_within_ms)
            self.offers[bind.machine].append((at, until))
            closed = AttemptClosed(
                self.task_count,
                0,
                bind.machine,
                AttemptOutcome.REJECTED,
                OutcomeReason.NOT_HERE,
                task_finished=True,
                elapsed_ms=1.0,
            )
            self.handle(placer, at, closed)
        raise AssertionError("the placer made 10,000 offers at one instant")

    def max_offers_in_a_window(self) -> int:
        """Return the highest number of offers that any machine may get in any window."""
        return max((max_in_a_window(offers) for offers in self.offers.values()), default=0)


def max_in_a_window(offers: list[tuple[float, float]]) -> int:
    """Return the highest number of offers in a half-open window, if each falls anywhere in its interval."""
    changes = sorted([(first, 1) for first, _ in offers] + [(last + WINDOW_MS, -1) for _, last in offers])
    highest = open_offers = 0
    for _, change in sorted(changes):
        open_offers += change
        highest = max(highest, open_offers)
    return highest


def limit_with_random_variation(limit: float) -> float:
    return limit + 2 * math.sqrt(limit) + 2


def slot_ms() -> float:
    return (WINDOW_MS + CONNECT_TIMEOUT_MS) / 3


def instant_sampler(slots: int, pivot: int, rng: random.Random | None = None) -> Callable[[], list[float]]:
    """Return a function that draws one instant in each slot.

    It lies near the end of slots before the pivot and near the start of the others; with an `rng` it is
    sometimes random.
    """
    begin = math.ceil(START_MS / slot_ms()) + 1

    def draw_instants() -> list[float]:
        fractions = [0.99 if n < pivot else 0.001 for n in range(slots)]
        if rng is not None:
            fractions = [rng.choice([fraction, fraction, rng.random()]) for fraction in fractions]
        return [(begin + n + fraction) * slot_ms() for n, fraction in enumerate(fractions)]

    return draw_instants


def use_offers_in_each_slot(fleet: WarmingFleet, draw_instants: Callable[[], list[float]]) -> None:
    """Let each placer make all its offers once in each slot of its own clock, in order of time."""
    slots = [
        (at - fleet.clock_ahead_ms[placer], placer) for placer in fleet.indexes for at in draw_instants()
    ]
    for at, placer in sorted(slots):
        fleet.use_all_offers(placer, at)


LIMITS = st.sampled_from([1, 2, 3, 5, 9, 10, 20, 30, 57, 120, 250])
PLACERS = st.sampled_from([3, 20, 30, 60])


@runs(max_examples=60)
@given(PLACERS, LIMITS, st.integers(0, 2**48), st.integers(1, 12), st.integers(0, 2**32))
def test_no_window_exceeds_the_limit_despite_slow_connections_and_clock_skew(
    placers: int, limit: int, machine_id: int, pivot: int, seed: int
) -> None:
    """Guards against offers that wait for a connection until their time-out and are sent in a later slot."""
    rng = random.Random(seed)
    fleet = WarmingFleet(placers, limit, (machine(machine_id, started_at=START_MS - 10.0),))
    for placer in fleet.indexes:
        fleet.clock_ahead_ms[placer] = rng.choice(
            [0.0, CONNECT_TIMEOUT_MS / 2, rng.uniform(0.0, CONNECT_TIMEOUT_MS / 2)]
        )
        fleet.list_machines(placer, START_MS)
    use_offers_in_each_slot(fleet, instant_sampler(13, pivot, rng))
    assert fleet.max_offers_in_a_window() <= limit


@runs(max_examples=60)
@given(PLACERS, LIMITS, st.integers(1, 12), st.integers(0, 2**32))
def test_no_window_exceeds_the_limit_despite_placer_restarts_and_relisted_machines(
    placers: int, limit: int, pivot: int, seed: int
) -> None:
    """Guards against offers of a slot that two incarnations of a placer or list entry both make.

    Placers also get the machine's list entry one after another, and a restarted placer has another seed.
    """
    rng = random.Random(seed)
    fleet = WarmingFleet(placers, limit)
    removed = replace(fleet.listed[0], state=MachineState.REMOVED)
    listed_to: set[int] = set()
    for at, placer in sorted(
        (at, placer) for placer in fleet.indexes for at in instant_sampler(13, pivot, rng)()
    ):
        if placer not in listed_to:
            if rng.random() < 0.5:
                fleet.list_machines(placer, at)
                listed_to.add(placer)
            continue
        fleet.use_all_offers(placer, at)
        match rng.randrange(4):
            case 0:
                fleet.schedulers[placer] = fleet.start_scheduler(placer, rng.randrange(100))
                fleet.list_machines(placer, at + 0.1)
            case 1:
                fleet.list_machines(placer, at + 0.1, removed, kind=EndpointListKind.CHANGES)
                fleet.list_machines(placer, at + 0.2, kind=EndpointListKind.CHANGES)
        fleet.use_all_offers(placer, at + 0.3)
    assert fleet.max_offers_in_a_window() <= limit


@runs(max_examples=150)
@given(
    st.sampled_from([20, 30, 60]),
    LIMITS,
    st.sampled_from([0.1, 0.3, 0.5, 0.7]),
    st.floats(-12.0, 12.0),
    st.integers(0, 2**32),
)
def test_clocks_stepped_between_restarts_exceed_the_limit_only_by_random_variation(
    placers: int, limit: int, share: float, slots: float, seed: int
) -> None:
    """Placers that restart use the stepped wall clock; the clocks of the others are slewed for hours.

    They restart in the order of their indexes. Guards against offers that are also divided in that order: the
    restarted placers would then hold all offers of several seconds, while the others make theirs at the same
    time by another clock.
    """
    rng = random.Random(seed)
    fleet = WarmingFleet(placers, limit, (machine(rng.getrandbits(48), started_at=START_MS - 10.0),))
    first = rng.randrange(placers)
    for number in range(round(share * placers)):
        fleet.clock_ahead_ms[(first + number) % placers] = slots * slot_ms()
    for placer in fleet.indexes:
        fleet.list_machines(placer, START_MS - 20.0 * slot_ms())
    use_offers_in_each_slot(fleet, instant_sampler(24, 12, rng))
    assert fleet.max_offers_in_a_window() <= limit_with_random_variation(limit)


@pytest.mark.parametrize("limit", [5, 57, 250])
@pytest.mark.parametrize("beyond", [1, 10, 20])
def test_placers_beyond_the_replica_count_have_no_offers(beyond: int, limit: int) -> None:
    """Guards against more placers than the settings state: index 20 of 20 took the offers of index 0."""
    fleet = WarmingFleet(20, limit, indexes=range(20 + beyond))
    for placer in fleet.indexes:
        fleet.list_machines(placer, START_MS)
    use_offers_in_each_slot(fleet, instant_sampler(9, 5))
    assert fleet.max_offers_in_a_window() <= limit


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("limit", [9, 57])
@pytest.mark.parametrize("placers", [3, 20, 30, 60])
def test_three_quarters_of_the_limit_are_used_in_the_long_term(placers: int, limit: int, seed: int) -> None:
    """Guards against starvation: in the long term a window gets about three quarters of the limit.

    Four slots share the limit, and a window is a little shorter than three slots, because slots are extended
    by a connect time-out.
    """
    fleet = WarmingFleet(placers, limit, (machine(seed * 977, started_at=START_MS - 10.0),))
    for placer in fleet.indexes:
        fleet.list_machines(placer, START_MS)
    use_offers_in_each_slot(fleet, instant_sampler(40, 40, random.Random(seed)))
    assert sum(len(offers) for offers in fleet.offers.values()) == 10 * limit


def test_a_warming_machine_whose_connections_fail_is_ejected() -> None:
    """Its offers wait for less than a connect time-out, so they end as NOT_SENT, not as UNREACHABLE."""
    base = settings(replica_count=1)
    driver = Driver(replace(base, slow_start=replace(base.slow_start, max_offers_per_window=400.0)))
    driver.listing(machine(1), machine(2))
    driver.now = 60_000.0
    driver.listing(machine(1, started_at=driver.now - 10.0), kind=EndpointListKind.CHANGES)
    offered_machines: list[int] = []
    for task in range(60):
        (bind,) = actions_of(driver.arrive(task, service=task, cores=0.01, memory=0.01), Bind)
        offered_machines.append(bind.machine)
        if bind.machine == 1 and offered_machines.count(1) <= 2:
            assert bind.send_within_ms == base.connect_timeout_ms / 2
            driver.close(task, 0, 1, AttemptOutcome.NOT_SENT, task_finished=True, after=bind.send_within_ms)
    assert offered_machines.count(1) == 2
    assert offered_machines[-1] == 2


@pytest.mark.parametrize(("placers", "limit"), [(1, 7), (3, 7), (220, 60), (220, 3), (2, 1)])
def test_all_placers_together_use_the_limit_of_a_warming_machine_without_exceeding_it(
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


def test_a_placer_that_has_just_started_makes_no_offers_to_a_warming_machine() -> None:
    driver = Driver()
    driver.listing(machine(1, started_at=driver.now - 10.0), kind=EndpointListKind.CACHED)
    assert actions_of(driver.arrive(5), Bind) == []
