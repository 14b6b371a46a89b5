"""Agents under test: ended at named points, on a host of another boot, with what they are asked recorded.

Run as a process of its own (`python -m kelpfront.lab.agents`), which is the agent with these hooks and
nothing else. `POINTS` are the places in a task's life at which it can be made to die as by SIGKILL.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

from kelpfront.agent.errors import AgentError
from kelpfront.agent.node_setup import HostFacts
from kelpfront.agent.server import AgentServer
from kelpfront.agent.service import AgentService
from kelpfront.clock import CommonClock
from kelpfront.config.agent import read_agent_config
from kelpfront.http.messages import Request
from kelpfront.lab.recording import Recorder
from kelpfront.lab.wrongagents import WRONG
from kelpfront.logs import configure_logs
from kelpfront.machine.messages import Answer, Gone, Heartbeat, OfferRequest, Sequenced

POINTS = (
    "intent",
    "intent-durable",
    "folder",
    "spawned",
    "started",
    "answer",
    "stop",
    "stop-written",
    "stop-asked",
    "exit-seen",
    "exit-told",
    "exit-recorded",
)


class AgentTask(msgspec.Struct, frozen=True):
    """What one process is to be. `kill_at` is a point and the how-manieth pass of it that is the last."""

    config: str
    kill_at: tuple[str, int] | None = None
    boot: str | None = None
    uptime_ms: float | None = None
    wall_ahead_s: float = 0.0  # the wall clock is off by so much
    wall_steps: tuple[float, float] | None = None  # after so many seconds the wall clock steps by so many
    record: str = ""
    records_boot: bool = True  # whether the machine's boot is recorded: only of its first agent
    overrides: tuple[str, ...] = ()
    wrong: str = ""  # one of `wrongagents.WRONG`


class Death:
    """Ends this process at a point, as SIGKILL does: nothing of it is tidied up."""

    def __init__(self, kill_at: tuple[str, int] | None) -> None:
        self._kill_at = kill_at
        self.passed: Counter[str] = Counter()

    def at(self, point: str) -> None:
        self.passed[point] += 1
        if self._kill_at == (point, self.passed[point]):
            os.kill(os.getpid(), signal.SIGKILL)


class RecordedServer(AgentServer):
    """Writes down what placers ask and are told, as stand-ins do."""

    recorder: Recorder

    def record(self, ev: str, **fields: object) -> None:
        self.recorder.write(ev, machine=self.node.settings.name, **fields)

    async def decide_offer(self, offered: OfferRequest, request: Request) -> Answer:
        offer, settings = offered.offer, self.node.settings
        self.record(
            "offer",
            placer=offered.placer,
            life=offered.incarnation,
            task=offer.task,
            attempt=offer.attempt,
            cls=offer.cls,
            service=offer.service,
            key=offer.key,
            room=settings.zone,
            rack=settings.rack,
        )
        key = {"task": offer.task, "attempt": offer.attempt}
        forget = request.peer.on_change(lambda: self.record("left", **key))
        try:
            answer = await super().decide_offer(offered, request)
        finally:
            forget()
        there = not (request.peer.closed or request.peer.half_closed)
        self.record("answer", **key, answer=answer.answer, reason=answer.reason, delivered=there)
        return answer

    def on_streamed(self, placer: str, message: Heartbeat | Sequenced) -> None:
        match message:
            case Heartbeat(state):
                self.record("told", placer=placer, state=state)
            case Gone(_, task, attempt, cause):
                self.record("gone-told", placer=placer, task=task, attempt=attempt, cause=cause)


class RecordedAgent(AgentService):
    server_class = RecordedServer


def stepping_wall(ahead_s: float, steps: tuple[float, float] | None) -> Callable[[], float]:
    began = time.monotonic()

    def wall() -> float:
        now = time.time() + ahead_s
        if steps is not None and time.monotonic() - began >= steps[0]:
            now += steps[1]
        return now

    return wall


async def serve(its: AgentTask) -> None:
    config = read_agent_config(Path(its.config), its.overrides)
    configure_logs(config.log.level, config.log.format, machine=config.agent.name)
    real = HostFacts.read()
    facts = HostFacts(its.boot or real.boot_id, real.uptime_ms if its.uptime_ms is None else its.uptime_ms)
    clock = CommonClock(stepping_wall(its.wall_ahead_s, its.wall_steps))
    death = Death(its.kill_at)
    recorder = Recorder("agent", Path(its.record), at_once=True) if its.record else None
    kind: type[AgentService] = WRONG[its.wrong] if its.wrong else AgentService
    if recorder is not None:
        RecordedServer.recorder = recorder
        kind = RecordedAgent
    service = kind(config, clock=clock, host=facts, checkpoint=death.at)
    await service.start()
    if recorder is not None and its.records_boot:
        slow_start, settings = service.node.settings.slow_start, service.node.settings
        cold = service.clock.now() - service.node.started_at < slow_start.duration_ms
        recorder.write(
            "boot",
            machine=config.agent.name,
            boot=service.node.boot,
            cold=cold,
            rack=settings.rack,
            room=settings.zone,
            kind=settings.kind,
            rate=settings.starts_per_ms or settings.max_parallel_starts / 100.0,
            cold_from=slow_start.initial_share,
            cold_ms=slow_start.duration_ms,
        )
    sys.stdout.write(
        json.dumps({"url": service.url, "grpc": service.grpc_target, "readyMs": service.ready_ms}) + "\n"
    )
    sys.stdout.flush()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
    await service.close()
    if recorder is not None:
        recorder.close()


def main() -> None:
    its = msgspec.json.decode(sys.stdin.buffer.read(), type=AgentTask)
    try:
        asyncio.run(serve(its))
    except AgentError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(1) from None


if __name__ == "__main__":
    main()
