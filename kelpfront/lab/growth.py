"""How the cost of a decision, and of a machine that comes up, grows with the fleet: the controller alone.

A task is submitted, its offer passes the gate and is answered as running, as in the service; then it ends.
Sizes take turns over several rounds, since the host's speed varies; the median round of each counts.
"""

from __future__ import annotations

import itertools
import statistics
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from kelpfront.api.jobs import JobSpec
from kelpfront.config import build_cluster
from kelpfront.config.reader import parse_config
from kelpfront.controller.intents import SendOffer
from kelpfront.controller.job_controller import ControllerIdentity, JobController
from kelpfront.controller.jobs import Submission
from kelpfront.inventory import Inventory
from kelpfront.lab.setup import make_hosts
from kelpfront.lab.timeline.script import PLAIN_SETTINGS
from kelpfront.machine import messages as wire
from kelpfront.store import ResourceStore

STEP_MS = 5.0  # of simulated time from one task to the next
KEPT = 200  # tasks that run at a time
EARLIER = {10: 0.07, 81: 0.4, 300: 1.1, 1_000: 4.0, 3_000: 18.0}  # ms, as issue 15 has them, another host


class Grown:
    """A controller with machines that take what they are offered."""

    def __init__(self, machines: int) -> None:
        uids = itertools.count(1)
        self.controller = JobController(
            build_cluster(parse_config(PLAIN_SETTINGS, "growth")),
            ResourceStore(0),
            ControllerIdentity("p0", "life-1", 7),
            lambda: f"uid{next(uids)}",
        )
        self.now = 1_000_000_000.0
        hosts = {host.name: host for host in make_hosts(machines, ("a", "b", "c"), [("small", 16.0, 32.0)])}
        self._seq = dict.fromkeys(hosts, 0)
        self._running: list[tuple[str, str, int]] = []
        self._number = 0
        began = time.perf_counter()
        self.controller.apply_inventory(self.now, Inventory("growth", hosts))
        load = wire.LoadReport(32.0, 48.0, 16.0, 32.0)
        for name in hosts:
            self.controller.on_machine_message(
                self.now, name, wire.Hello(f"{name}-1", 1e9, "small", 1000.0, False, 1)
            )
            self.controller.on_machine_message(self.now, name, wire.Heartbeat("ready", load))
            self.controller.take_intents()
        self.join_s = time.perf_counter() - began

    def one(self) -> float:
        """Seconds that a task took."""
        self.now += STEP_MS
        self.controller.advance(self.now)
        self.controller.take_intents()
        self._number += 1
        spec = JobSpec.model_validate(
            {"class": "web", "service": f"s{self._number % 20}", "cores": 1, "memory": 1}
        )
        began = time.perf_counter()
        self.controller.submit(self.now, Submission("growth", f"j{self._number}", spec, {}, {}, self.now))
        self.controller.flush(self.now)
        sent = next((one for one in self.controller.take_intents() if isinstance(one, SendOffer)), None)
        if sent is not None:
            its = sent.offer
            assert self.controller.clear_to_send(self.now, its.task, its.attempt)
            self.controller.on_offer_answered(self.now, its.task, its.attempt, wire.Answer("running"))
            self.controller.take_intents()
            self._running.append((sent.host, its.task, its.attempt))
        took = time.perf_counter() - began
        if len(self._running) > KEPT:
            host, uid, attempt = self._running.pop(0)
            self._seq[host] += 1
            self.controller.on_machine_message(
                self.now, host, wire.Gone(self._seq[host], uid, attempt, "ended", True)
            )
            self.controller.take_intents()
        return took


def measure_growth(
    sizes: Sequence[int], tasks: int, rounds: int, say: Callable[[str], None]
) -> list[dict[str, Any]]:
    grown = {}
    for size in sizes:
        grown[size] = Grown(size)
        say(f"{size} machines up in {grown[size].join_s:.2f} s")
    found: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(rounds):
        for size in sizes:
            found[size].append(statistics.median(grown[size].one() for _ in range(tasks)))
    return [
        {
            "machines": size,
            "task_ms": round(statistics.median(found[size]) * 1000.0, 4),
            "join_s": round(grown[size].join_s, 3),
        }
        for size in sizes
    ]


def plot_growth(results: Sequence[dict[str, Any]], path: Path) -> None:
    import matplotlib.pyplot as plt

    from kelpfront.lab.report.plots import BLUE, GREY, ORANGE, png

    figure, axes = plt.subplots(1, 2, figsize=(10, 4), layout="constrained")
    sizes = [one["machines"] for one in results]
    for axis, key, label, unit in (
        (axes[0], "task_ms", "a task: submit, gate, answer", "ms"),
        (axes[1], "join_s", "all machines come up", "s"),
    ):
        axis.loglog(sizes, [one[key] for one in results], "o-", color=BLUE, label="measured")
        first = results[0]
        for power, style in ((1, "--"), (2, ":")):
            line = [first[key] * (size / first["machines"]) ** power for size in sizes]
            axis.loglog(sizes, line, style, color=GREY, label=f"as size to the power {power}", linewidth=1)
        axis.set_xlabel("machines")
        axis.set_ylabel(unit)
        axis.set_title(label, fontsize=10)
        axis.grid(alpha=0.3)
    axes[0].loglog(list(EARLIER), list(EARLIER.values()), "s", color=ORANGE, label="as told in issue 15")
    for axis in axes:
        axis.legend(fontsize=8)
    path.write_bytes(png(figure))
