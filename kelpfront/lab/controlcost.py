"""What a placer spends for control, by its core without sockets: tests, list events, tasks handed over.

Bytes are those of the program's own lines. `SEGMENT` is added where headers are said to be counted: each line
in a TCP segment of its own, and a segment without data for each that is acknowledged alone.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import time
from typing import Any

from kelpfront.lab.fleet.settings import config_json, members
from kelpfront.lab.platform import line, offer
from kelpfront.platform.config import parse_config
from kelpfront.platform.core import PlacerCore
from kelpfront.platform.endpoint_events import parse_events
from kelpfront.platform.intents import SendHealthCheck, SendToClient
from kelpfront.platform.messages import decode
from kelpfront.scheduling.events import MachineId
from kelpfront.scheduling.scheduler import Scheduler

SEGMENT = 52  # bytes of IPv4 and TCP headers with time stamps
PORTION = 2_000  # tasks that one owner's connection hands over
ANSWER_MS = 1.0
STEP_MS = 10.0


class Bench:
    """One core, and machines that answer each test."""

    def __init__(self, machines: int, tasks: int) -> None:
        listed = members(machines)
        known = {"index": 1, "updates": [_event(1, listed, True)]}
        raw = config_json(0, 16, "127.0.0.1:0", "127.0.0.1:1", known)
        self.config = parse_config(raw)
        self.core = PlacerCore(self.config, Scheduler(self.config.settings, 1))
        self.now, self.spent, self.index = 1e12, 0.0, 1
        self.out_bytes = self.in_bytes = self.tests = 0
        self._answers: list[tuple[float, int, MachineId, bytes]] = []
        self._names = [entry["id"] for entry in listed]
        self.listed(known)
        self.hand_over(tasks)
        self.joined_s = self.spent

    def listed(self, raw: Any) -> None:
        began = time.process_time()
        index, events = parse_events(raw, self.config)
        self.core.apply_endpoint_events(self.now, index, events)
        self.spent += time.process_time() - began
        self.take()

    def hand_over(self, tasks: int) -> None:
        for number in range(tasks):
            conn = number // PORTION
            if number % PORTION == 0:
                self.core.sessions.open(self.now, conn, f"127.0.0.{conn + 1}")
            name = self._names[number % len(self._names)]
            extras = f"cores:1;memory:2;service:{number % 997:016x};at:{name}"
            data = offer(f"{number:016x}", extras=extras)
            began = time.process_time()
            self.core.on_client_message(self.now, conn, decode(data))
            self.spent += time.process_time() - began
        self.take()

    def take(self) -> None:
        """Answers the tests among what the core wants."""
        for intent in self.core.outbox.drain():
            if isinstance(intent, SendHealthCheck):
                load = {"load": "x0:12.5;x1:20.25;q:0"}
                answer = line("tested", intent.check_id, why=1, with_=load)
                self.tests += 1
                self.out_bytes += len(intent.data)
                self.in_bytes += len(answer)
                item = (self.now + ANSWER_MS, self.tests, intent.machine, answer)
                heapq.heappush(self._answers, item)
            elif isinstance(intent, SendToClient):
                self.out_bytes += len(intent.data)

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += STEP_MS
            while self._answers and self._answers[0][0] <= self.now:
                _, _, machine, data = heapq.heappop(self._answers)
                began = time.process_time()
                self.core.on_machine_message(self.now, machine, decode(data))
                self.spent += time.process_time() - began
            began = time.process_time()
            self.core.timers.run(self.now)
            self.spent += time.process_time() - began
            self.take()

    def forget(self) -> None:
        """Counts anew from here."""
        self.spent = 0.0
        self.out_bytes = self.in_bytes = self.tests = 0


def _event(index: int, listed: list[dict[str, Any]], whole: bool = False) -> dict[str, Any]:
    return {"index": index, "endpoints": {"revision": index, "complete": whole, "members": listed}}


def asking_at_rest(machines: int, tasks: int, seconds: float) -> dict[str, Any]:
    bench = Bench(machines, tasks)
    bench.run(10_000.0)
    bench.forget()
    bench.run(seconds * 1000.0)
    tests = bench.tests / seconds
    return {
        "machines": machines,
        "tasks": tasks,
        "tests_a_s": round(tests, 1),
        "out_bytes_a_s": round(bench.out_bytes / seconds),
        "in_bytes_a_s": round(bench.in_bytes / seconds),
        "out_with_headers": round(bench.out_bytes / seconds + tests * SEGMENT),
        "in_with_headers": round(bench.in_bytes / seconds + tests * SEGMENT),
        "cpu_percent": round(100 * bench.spent / seconds, 2),
        "cpu_us_a_test": round(1e6 * bench.spent / max(1, bench.tests), 1),
        "joined_s": round(bench.joined_s, 3),
    }


def list_events(machines: int, tasks: int, events: int) -> dict[str, Any]:
    """Events that change the `spare` of one machine."""
    bench = Bench(machines, tasks)
    rng = random.Random(1)
    listed = members(machines)
    bench.forget()
    size = 0
    for number in range(events):
        member = rng.choice(listed) | {"spare": [round(rng.uniform(0, 20), 3), round(rng.uniform(0, 40), 3)]}
        raw = json.dumps({"index": number + 2, "updates": [_event(number + 2, [member])]})
        size += len(raw)
        began = time.process_time()
        parsed = json.loads(raw)
        bench.spent += time.process_time() - began
        bench.listed(parsed)
    each = bench.spent / events
    return {
        "machines": machines,
        "tasks": tasks,
        "bytes": round(size / events),
        "ms_an_event": round(1e3 * each, 3),
        "bytes_at_132": round(size / events * 132),
        "cpu_percent_at_132": round(100 * each * 132, 1),
    }


def handed_over(machines: int, tasks: int) -> dict[str, Any]:
    bench = Bench(machines, tasks)
    return (
        {"machines": machines, "tasks": tasks, "held": len(bench.core.requests)}
        | bench.core.counters.log_fields()
        | bench.core.limits.fields()
    )


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m kelpfront.lab.controlcost", description=__doc__)
    parser.add_argument("--machines", type=int, nargs="+", default=[100, 400, 1_100, 2_200])
    parser.add_argument("--tasks", type=int, default=1_375, help="of this placer")
    parser.add_argument("--seconds", type=float, default=30.0, help="of virtual time at rest")
    parser.add_argument("--events", type=int, default=1_000)
    args = parser.parse_args()
    for machines in args.machines:
        print(json.dumps({"rest": asking_at_rest(machines, args.tasks, args.seconds)}))
    for machines in args.machines:
        print(json.dumps({"event": list_events(machines, args.tasks, args.events)}))
    for tasks in (8_000, 22_000):
        print(json.dumps({"handed over": handed_over(1_100, tasks)}))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
