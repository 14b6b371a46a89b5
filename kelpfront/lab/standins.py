"""Many stand-ins in one process: made from an inventory's hosts, with the faults of a script."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Literal

import msgspec

from kelpfront.config import Config
from kelpfront.inventory import Host
from kelpfront.lab.recording import Recorder
from kelpfront.lab.standin import MachineModel, Protocol, StandIn, TaskModel, boot_again
from kelpfront.machine.admission import Capacity
from kelpfront.machine.idempotency_records import MachineIdempotencyRecords, SharedIdempotencyRecords
from kelpfront.machine.model import NodeSettings
from kelpfront.machine.slow_start import SlowStart

FaultKind = Literal[
    "crash",
    "silence",
    "mute",
    "late",
    "reset",
    "drain",
    "neighbour",
    "class-fail",
    "class-full",
    "list-lag",
    "heavy",
]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One thing that goes wrong with some machines, from `at_s` on for `for_s` seconds.

    - crash: down at once, back cold. silence: takes requests, answers nothing, streams nothing.
    - mute: answers, but its stream tells nothing: neither state nor ends.
    - late: answers `value` ms late. reset: a share `value` of answers is lost with its connection.
    - drain: takes nothing more and sends its tasks away, then goes down and comes back cold.
    - neighbour: another program takes a share `value` of the machine.
    - class-fail: a share `value` of the starts of class `cls` fails, `how` "error" or "silence".
    - class-full: class `cls` is turned away above `value` offers a second, though there is room.
    - heavy: a share `value` of the tasks of class `cls` that start live `times` as long.
    - list-lag: what heartbeats tell of room is `value` ms old.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    hosts: tuple[str, ...]
    value: float = 0.0
    cls: str = ""
    how: str = ""
    times: float = 1.0


class FleetModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the stand-ins of a day behave, besides what the settings say."""

    weigh_ms: float = 10.0
    line: int = 16
    parallel_starts: int = 6
    dear: float = 6.0
    kept_programs: int = 8
    drain_pace_ms: float = 150.0
    heartbeat_ms: float = 500.0
    start_ms: float = 120.0
    life_ms: float = 15_000.0
    cores_use: float = 0.55
    memory_use: float = 0.7


class Fleet:
    """The stand-ins of some hosts. `start` binds their ports and boots them as long up."""

    def __init__(
        self,
        config: Config,
        hosts: Iterable[Host],
        model: FleetModel,
        seed: int,
        now: Callable[[], float],
        recorder: Recorder,
        copies: MachineIdempotencyRecords | None = None,
        protocol: Protocol = "http",
        standin: type[StandIn] = StandIn,
    ) -> None:
        self._protocol = protocol
        self._recorder = recorder
        copies = copies or SharedIdempotencyRecords()
        self.machines = {
            host.name: standin(
                node_settings(config, host, model),
                machine_model(config, model),
                seed,
                now,
                recorder,
                copies,
                protocol,
            )
            for host in hosts
        }
        self._hosts = {host.name: host for host in hosts}
        self._jobs: dict[asyncio.Task[None], None] = {}  # in the order in which they began
        self._rng = random.Random(f"fleet/{seed}")

    async def start(self, ports: dict[str, int] | None = None, cold: bool = False) -> list[Host]:
        """Boots all; returns their hosts with the addresses that they got."""
        addressed = []
        for name, machine in self.machines.items():
            address = machine.take_address((ports or {}).get(name, 0))
            addressed.append(replace(self._hosts[name], address=f"{self._protocol}://{address}"))
            await machine.boot(cold)
        return addressed

    def play(self, faults: Iterable[Fault], start_in_s: float = 0.0) -> None:
        """Lets faults happen at their times, counted from `start_in_s` seconds from now."""
        for fault in faults:
            self._spawn(self._run(fault, start_in_s + fault.at_s))

    def _spawn(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self._jobs[task] = None
        task.add_done_callback(self._jobs.pop)

    async def _run(self, fault: Fault, in_s: float) -> None:
        await asyncio.sleep(in_s)
        hit = [self.machines[name] for name in fault.hosts if name in self.machines]
        if not hit:
            return
        self._recorder.write(
            "fault",
            kind=fault.kind,
            for_s=fault.for_s,
            hosts=[machine.name for machine in hit],
            cls=fault.cls,
        )
        for machine in hit:
            self._begin(fault, machine)
        await asyncio.sleep(fault.for_s)
        for machine in hit:
            self._end(fault, machine)

    def _begin(self, fault: Fault, machine: StandIn) -> None:
        troubles = machine.troubles
        match fault.kind:
            case "crash":
                machine.crash()
                # Those that died together come back over a while, as hosts do.
                self._spawn(boot_again(machine, fault.for_s * self._rng.uniform(0.8, 1.2)))
            case "silence":
                machine.silence(True)
            case "mute":
                troubles.mute = True
            case "late":
                troubles.late_ms = fault.value
            case "reset":
                troubles.reset_share = fault.value
            case "drain":
                machine.drain(True)
            case "neighbour":
                machine.neighbour(fault.value)
            case "class-fail":
                troubles.failing[fault.cls] = fault.value, fault.how
            case "class-full":
                troubles.full[fault.cls] = fault.value
            case "heavy":
                troubles.heavy[fault.cls] = fault.value, fault.times
            case "list-lag":
                troubles.list_lag_ms = fault.value

    def _end(self, fault: Fault, machine: StandIn) -> None:
        troubles = machine.troubles
        match fault.kind:
            case "silence":
                machine.silence(False)
            case "mute":
                troubles.mute = False
            case "late":
                troubles.late_ms = 0.0
            case "reset":
                troubles.reset_share = 0.0
            case "drain":
                machine.crash("replaced")
                self._spawn(boot_again(machine, 2.0))
            case "neighbour":
                machine.neighbour(0.0)
            case "class-fail":
                troubles.failing.pop(fault.cls, None)
            case "class-full":
                troubles.full.pop(fault.cls, None)
            case "heavy":
                troubles.heavy.pop(fault.cls, None)
            case "list-lag":
                troubles.list_lag_ms = 0.0

    def close(self) -> None:
        for task in list(self._jobs):
            task.cancel()
        for machine in self.machines.values():
            machine.close()


def node_settings(config: Config, host: Host, model: FleetModel) -> NodeSettings:
    cluster, rules = config.cluster, config.rules
    return NodeSettings(
        name=host.name,
        kind=host.kind,
        rack=host.rack,
        zone=host.room,
        capacity=Capacity(host.cores, host.memory, cluster.accepts_cores, cluster.accepts_memory),
        max_pending_offers=model.line,
        max_parallel_starts=model.parallel_starts,
        answer_mode=cluster.answer,
        preempts=cluster.pushes_out,
        drain_mode="paced",
        drain_interval_ms=model.drain_pace_ms,
        max_cached_programs=model.kept_programs,
        heartbeat_ms=model.heartbeat_ms,
        slow_start=SlowStart(rules.cold_from, rules.cold_for),
    )


def machine_model(config: Config, model: FleetModel) -> MachineModel:
    rules = config.rules
    return MachineModel(
        weigh_ms=model.weigh_ms,
        dear=model.dear,
        cold_window_ms=rules.cold_window,
        cold_multiple=rules.cold_multiple,
        cold_offers=rules.cold_offers,
        classes={
            name: TaskModel(
                model.start_ms,
                model.life_ms,
                model.cores_use,
                model.memory_use,
                cls.calm,
                max(cls.fade, 0.01),
            )
            for name, cls in config.classes.items()
        },
    )
