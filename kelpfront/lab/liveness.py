"""Placers, watchers and workers in virtual time, with faults between them: who knows when a worker is lost.

The placers are the program's cores and the watchers its watchers, all without sockets. Each process has a
clock of its own that is off by some amount. Bytes are those of the lines and datagrams, with `SEGMENT` for
each line and `DATAGRAM` for each datagram; processor time is that spent in the program's own code.
"""

from __future__ import annotations

import heapq
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kelpfront.failure_detection.detector import (
    CHECK_TICK_MS,
    DIGEST_INTERVAL_MS,
    FailureDetector,
    ListedMachine,
)
from kelpfront.failure_detection.digest import Hello, pack_hello, unpack
from kelpfront.failure_detection.path_checks import PATH_CHECK_INTERVAL_MS
from kelpfront.failure_detection.view import HELLO_INTERVAL_MS, LivenessView
from kelpfront.lab.fleet.settings import ZONES, config_json, whole_list
from kelpfront.lab.platform import line, offer
from kelpfront.platform.config import parse_config
from kelpfront.platform.core import PlacerCore
from kelpfront.platform.endpoint_events import parse_events
from kelpfront.platform.intents import SendHealthCheck, SendToClient
from kelpfront.platform.messages import decode
from kelpfront.scheduling.events import HealthCheckCompleted, LivenessObserved, MachineId
from kelpfront.scheduling.scheduler import Scheduler

SEGMENT, DATAGRAM = 52, 28  # bytes of headers: IPv4 with TCP and time stamps; with UDP
PORTION = 2_000  # tasks that one owner's connection hands over
WAY_MS = 0.5  # one way between any two, where nothing is wrong
START = 1.79e12


@dataclass(slots=True, eq=False)
class Worker:
    id: MachineId
    name: str
    zone: int
    up: bool = True
    down_at: float = 0.0
    connections: set[str] = field(default_factory=set)  # processes whose connection it knows


Datagrams = Callable[[random.Random], list[float]]
"""Delays in ms of the copies of a datagram that arrive: none where it is lost."""


def prompt(rng: random.Random) -> list[float]:
    return [WAY_MS]


class Process:
    """Something with a clock of its own that can be stopped and continued."""

    def __init__(self, world: World, name: str, offset: float) -> None:
        self.world, self.name, self.offset = world, name, offset
        self.paused_until = 0.0
        self.life = 0
        self.spent = 0.0
        self.counts: Counter[str] = Counter()

    @property
    def clock(self) -> float:
        return self.world.now + self.offset

    def after(self, ms: float, call: Callable[[], None]) -> None:
        """In this life and while it is not stopped; else when it goes on."""
        life = self.life

        def run() -> None:
            if self.life != life:
                return
            if self.world.now < self.paused_until:
                self.world.at(self.paused_until, run)
                return
            began = time.process_time()
            call()
            self.spent += time.process_time() - began

        self.world.at(self.world.now + ms, run)

    def every(self, ms: float, call: Callable[[], None]) -> None:
        def again() -> None:
            call()
            self.after(ms, again)

        self.after(ms * self.world.rng.random(), again)


class PlacerSide(Process):
    def __init__(self, world: World, number: int, offset: float, tasks: int) -> None:
        super().__init__(world, f"p{number}", offset)
        self.number, self.tasks = number, tasks
        self.news: LivenessView | None = None
        self.released: list[tuple[float, str]] = []  # when, and on which worker
        self.start()

    def start(self) -> None:
        """A new life: the list by its file, and its tasks handed over."""
        self.life += 1
        world = self.world
        known = {"index": 1, "updates": [whole_list(1, len(world.workers))]}
        raw = config_json(self.number, world.placers_most, "127.0.0.1:0", "127.0.0.1:1", known)
        self.config = parse_config(raw)
        self.core = PlacerCore(self.config, Scheduler(self.config.settings, self.number))
        self._wake_at = 0.0
        self._where: dict[str, str] = {}
        self.core.apply_endpoint_events(self.clock, *parse_events(known, self.config))
        names = list(world.workers)
        for task in range(self.tasks):
            conn = task // PORTION
            if task % PORTION == 0:
                self.core.sessions.open(self.clock, conn, f"127.0.1.{conn + 1}")
            name = names[(task * world.spread + self.number) % len(names)]
            call = f"{self.number << 32 | task:016x}"
            self._where[call] = name
            extras = f"cores:0.1;memory:0.1;service:{task % 997:016x};at:{name}"
            self.core.on_client_message(self.clock, conn, decode(offer(call, extras=extras)))
        if world.watchers_most:
            self.news = LivenessView(world.rng.getrandbits(64), world.watchers_most)
            self.news.apply_endpoint_list(self.core.endpoints.machines_by_zone())
            self.core.health_checks.observer = self._probed
            self.every(HELLO_INTERVAL_MS, self._hello)
            self.every(PATH_CHECK_INTERVAL_MS, self._spot)
        self.flush()

    def holds(self, worker: str) -> int:
        return len(self.core.endpoints.machines[self.world.workers[worker].id].running)

    def flush(self) -> None:
        while self.core.outbox:
            for intent in self.core.outbox.drain():
                if isinstance(intent, SendHealthCheck):
                    self.counts["tests"] += 1
                    self.counts["bytes out"] += len(intent.data) + SEGMENT
                    self.world.test(self, intent.machine, intent.check_id, self._answered)
                elif isinstance(intent, SendToClient) and intent.data.startswith(b'{"op":"end"'):
                    for ended in intent.data.splitlines():
                        name = self._where.get(decode(ended).call)  # none: an answer to a set-up
                        if name is not None:
                            self.released.append((self.world.now, name))
        due = self.core.timers.next()
        if self._wake_at <= self.clock or due < self._wake_at:
            self._wake_at = due
            self.after(max(0.0, due - self.clock), self._tick)

    def _tick(self) -> None:
        if self.clock >= self._wake_at:
            self.core.timers.run(self.clock)
            self.flush()

    def _answered(self, ident: MachineId, call: str) -> None:
        data = line("tested", call, why=1, with_={"load": "x0:12.5;x1:20.25;q:0"})
        self.counts["bytes in"] += len(data) + SEGMENT
        self.core.on_machine_message(self.clock, ident, decode(data))
        self.flush()

    def _probed(self, now: float, completed: HealthCheckCompleted) -> None:
        assert self.news is not None
        self.news.record_health_check(now, completed.machine, missed=completed.no_response)

    def _take(self, seen: list[LivenessObserved]) -> None:
        for one in seen:
            self.world.judge(self, one)
            self.core.health_checks.on_liveness_observed(self.clock, one)

    def _hello(self) -> None:
        assert self.news is not None
        data = pack_hello(self.news.hello(self.clock))
        for watcher in self.world.watchers:
            self.counts["bytes out"] += len(data) + DATAGRAM
            self.world.datagram(self, watcher, lambda w=watcher: w.heard(self, data))  # type: ignore[misc]

    def _spot(self) -> None:
        assert self.news is not None
        self._take(self.news.checks_due(self.clock, self.core.has_running_tasks))
        self.flush()

    def digest(self, place: int, data: bytes) -> None:
        assert self.news is not None
        self.counts["bytes in"] += len(data) + DATAGRAM
        self._take(self.news.receive(self.clock, place, data))
        self.flush()


class WatcherSide(Process):
    def __init__(self, world: World, place: int, offset: float, zones: frozenset[int]) -> None:
        super().__init__(world, f"w{place}", offset)
        self.place, self.zones = place, zones
        self.start()

    def start(self) -> None:
        self.life += 1
        world = self.world
        self.watcher = FailureDetector(world.rng.getrandbits(64), world.test_ms)
        zones: dict[int, list[ListedMachine]] = {}
        for worker in world.workers.values():
            if worker.zone in self.zones:
                zones.setdefault(worker.zone, []).append(ListedMachine(worker.id, worker.name))
        self.watcher.apply_endpoint_list(self.clock, zones)
        for worker in world.workers.values():
            worker.connections.discard(self.name)
        self.every(CHECK_TICK_MS, self._turn)
        self.every(DIGEST_INTERVAL_MS, self._tell)

    def kill(self) -> None:
        self.life += 1

    def heard(self, placer: PlacerSide, data: bytes) -> None:
        hello = unpack(data)
        assert isinstance(hello, Hello)
        self.watcher.receive_hello(self.clock, (placer.name, placer.life), hello)

    def _turn(self) -> None:
        for check in self.watcher.checks_due(self.clock):
            ident = check.machine
            worker = self.world.by_id[ident]
            if self.name not in worker.connections:
                if not self.world.reaches(self, worker):
                    self.watcher.record_unsent_check(ident)
                    continue
                worker.connections.add(self.name)
                self.watcher.record_connection(self.clock, ident)
            call = self.watcher.begin_check(self.clock, ident)
            assert call is not None
            self.world.test(self, ident, call, self.watcher.record_answer)

    def _tell(self) -> None:
        for digest in self.watcher.build_digests(self.clock):
            (name, life), data = digest.address, digest.data
            placer = next(p for p in self.world.placers if p.name == name)
            if placer.life == life:
                self.world.datagram(self, placer, lambda p=placer, d=data: p.digest(self.place, d))  # type: ignore[misc]


class World:
    """`watched`: zones of each watcher; none: placers ask for themselves. `now` is true time, in ms."""

    def __init__(
        self,
        workers: int,
        placers: int,
        tasks: int,
        watched: tuple[tuple[int, ...], ...] = (),
        seed: int = 1,
        test_ms: float = 1_000.0,
        skew_ms: float = 10_000.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.now, self.test_ms = START, test_ms
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.workers: dict[str, Worker] = {}
        listed = whole_list(1, workers)
        config = parse_config(config_json(0, placers, "127.0.0.1:0", "127.0.0.1:1", {}))
        for entry in parse_events({"index": 1, "updates": [listed]}, config)[1][0].entries:
            self.workers[entry.name] = Worker(entry.endpoint.id, entry.name, entry.endpoint.zone)
        self.by_id = {worker.id: worker for worker in self.workers.values()}
        self.cut: Callable[[Process, Worker], bool] = lambda who, worker: False
        self.deaf: Callable[[Process, Process], bool] = lambda sender, receiver: False
        self.datagrams: Datagrams = prompt
        self.test_loss = 0.0
        self.spread = 1  # own tasks go to each so many-th worker
        self.newer_than_true: list[str] = []
        self.placers_most, self.watchers_most = placers, len(watched)
        self.watchers: list[WatcherSide] = []
        self.placers: list[PlacerSide] = []
        for place, zones in enumerate(watched):
            offset = self.rng.uniform(-skew_ms, skew_ms)
            self.watchers.append(WatcherSide(self, place, offset, frozenset(zones)))
        for number in range(placers):
            offset = self.rng.uniform(-skew_ms, skew_ms)
            self.placers.append(PlacerSide(self, number, offset, tasks))

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._heap, (when, self._number, call))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            when, _, call = heapq.heappop(self._heap)
            self.now = max(self.now, when)
            call()
        self.now = end

    # ---- What is between processes ----------------------------------------------------------------------

    def reaches(self, who: Process, worker: Worker) -> bool:
        return worker.up and not self.cut(who, worker)

    def test(
        self, who: Process, ident: MachineId, call: str, answer: Callable[[MachineId, str], None]
    ) -> None:
        worker = self.by_id[ident]

        def there() -> None:
            if self.reaches(who, worker) and self.rng.random() >= self.test_loss:
                who.after(WAY_MS, lambda: answer(ident, call))

        self.at(self.now + WAY_MS, there)

    def datagram(self, sender: Process, receiver: Process, call: Callable[[], None]) -> None:
        for delay in [] if self.deaf(sender, receiver) else self.datagrams(self.rng):
            receiver.after(delay, call)

    # ---- What is done to workers, and what came of it ------------------------------------------------------

    def vanish(self, *workers: Worker) -> None:
        """Without a word: their connections stay open."""
        for worker in workers:
            worker.up, worker.down_at = False, self.now

    def come_back(self, *workers: Worker) -> None:
        for worker in workers:
            worker.up = True
            worker.connections.clear()

    def zone(self, zone: int) -> list[Worker]:
        return [worker for worker in self.workers.values() if worker.zone == zone]

    def judge(self, placer: PlacerSide, seen: LivenessObserved) -> None:
        """News that are newer than the truth would hide a loss."""
        for ident in seen.machines:
            worker = self.by_id[ident]
            if seen.sent_at - placer.offset > (self.now if worker.up else worker.down_at):
                self.newer_than_true.append(f"{placer.name}: {worker.name}")

    def false_alarms(self) -> list[tuple[str, str]]:
        """Workers that a placer has given up and that live, each once."""
        return sorted(
            {(p.name, name) for p in self.placers for _, name in p.released if self.workers[name].up}
        )

    def known_after(self, *workers: Worker) -> list[float]:
        """Milliseconds from death until each placer that held tasks there had released the last."""
        found = []
        for placer in self.placers:
            last: dict[str, float] = {}
            for at, name in placer.released:
                last[name] = at
            found += [last[w.name] - w.down_at for w in workers if w.name in last]
        return found

    def left(self, *workers: Worker) -> int:
        """Tasks that placers still count as standing there."""
        return sum(placer.holds(worker.name) for placer in self.placers for worker in workers)

    def forget(self) -> None:
        """Counts anew from here."""
        for process in (*self.placers, *self.watchers):
            process.spent = 0.0
            process.counts.clear()

    def spending(self, seconds: float) -> dict[str, Any]:
        """Of a placer, on average, since counts were forgotten that long ago."""
        count = len(self.placers)
        total: Counter[str] = Counter()
        for placer in self.placers:
            total.update(placer.counts)
        spent = sum(placer.spent for placer in self.placers)
        watching = sum(watcher.spent for watcher in self.watchers) / max(1, len(self.watchers))
        return {
            "tests_a_s": round(total["tests"] / count / seconds, 2),
            "bytes_out_a_s": round(total["bytes out"] / count / seconds),
            "bytes_in_a_s": round(total["bytes in"] / count / seconds),
            "cpu_percent": round(100 * spent / count / seconds, 2),
            "watcher_cpu_percent": round(100 * watching / seconds, 2),
        }


ALL_ZONES = tuple(range(len(ZONES)))


# ---- Figures ----------------------------------------------------------------------------------------------

RACK = 20  # workers


def spread(values: list[float]) -> dict[str, float]:
    """Seconds: the middle, one in a hundred, and the most."""
    ordered = sorted(values)
    at = {"p50": 0.5, "p99": 0.99, "most": 1.0}
    last = len(ordered) - 1
    return {
        name: round(ordered[min(last, int(share * len(ordered)))] / 1000, 2) for name, share in at.items()
    }


def spending(workers: int, placers: int, watched: bool, seconds: float = 30.0) -> dict[str, Any]:
    """At rest, once all have news; each placer holds so many tasks that all stand on `workers`."""
    world = World(workers, placers, max(workers, 20 * workers // placers), _watched(watched))
    world.run(12_000.0)
    world.forget()
    world.run(seconds * 1000.0)
    return {"workers": workers, "placers": placers, "watched": watched, **world.spending(seconds)}


def times_to_know(watched: bool, rounds: int = 12, workers: int = 300, placers: int = 4) -> dict[str, Any]:
    """A worker, a rack and a zone vanish in turn, each at another moment; every placer is looked at."""
    found: dict[str, list[float]] = {"worker": [], "rack": [], "zone": []}
    for number in range(rounds):
        world = World(workers, placers, workers, _watched(watched), seed=number + 1)
        world.run(7_000.0 + 431.0 * number)
        first, second = world.zone(0), world.zone(1)
        for kind, gone in (("worker", first[:1]), ("rack", first[1 : 1 + RACK]), ("zone", second)):
            world.vanish(*gone)
            world.run(9_000.0 + 137.0 * number)
            known = world.known_after(*gone)
            if len(known) != placers * len(gone) or world.false_alarms():
                raise RuntimeError(f"{kind}: {len(known)} known, given up alive: {world.false_alarms()}")
            found[kind] += known
    return {"watched": watched, **{kind: spread(values) for kind, values in found.items()}}


def false_alarms(watched: bool, loss: float, minutes: float = 10.0) -> dict[str, Any]:
    """All live, and that share of all tests and datagrams is lost, by itself; those given up in that time."""
    world = World(300, 4, 300, _watched(watched))
    world.test_loss = loss
    world.datagrams = lambda rng: [WAY_MS] if rng.random() >= loss else []
    world.run(minutes * 60_000.0)
    alarms = len(world.false_alarms())
    an_hour = round(alarms * 60 / minutes / world.placers_most, 2)
    return {"watched": watched, "lost": loss, "given_up": alarms, "an_hour_and_placer": an_hour}


def _watched(watched: bool) -> tuple[tuple[int, ...], ...]:
    """Two watchers for each half of the zones."""
    half = len(ZONES) // 2
    return 2 * (ALL_ZONES[:half], ALL_ZONES[half:]) if watched else ()


def main() -> int:
    for watched in (False, True):
        for workers in (100, 300, 1_100, 2_200):
            print(json.dumps(spending(workers, 2, watched)), flush=True)
        for placers in (4, 8):
            print(json.dumps(spending(300, placers, watched)), flush=True)
        print(json.dumps(times_to_know(watched)), flush=True)
        for loss in (0.0, 0.05, 0.2):
            print(json.dumps(false_alarms(watched, loss)), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
