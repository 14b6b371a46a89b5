"""When a placer lets clients in: news of the list, or the time for it since its process began."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from placers import ready
from platforms import Stage, raw_config
from waiting import until

from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.restart import Restart, Start, marks, restart
from kelpfront.lab.fleet.settings import config_json, whole_list
from kelpfront.lab.platform import Machine, member, offer
from kelpfront.platform import __main__, descriptor_budget
from kelpfront.platform.config import Config, config_of
from kelpfront.platform.discovery_client import DiscoveryClient
from kelpfront.platform.poll_pacing import (
    MAX_FIRST_ANSWER_WAIT_MS,
    MAX_POLLS_IN_FLIGHT,
    MIN_FIRST_ANSWER_WAIT_MS,
    first_answer_wait_ms,
)
from kelpfront.platform.read_timing import TimedSelector
from kelpfront.platform.service import Service


@given(st.floats(0.0, 1e7))
def test_the_wait_for_the_first_answer_counts_from_the_start_and_has_a_minimum(
    alive_ms: float,
) -> None:
    wait = first_answer_wait_ms(alive_ms)
    assert MIN_FIRST_ANSWER_WAIT_MS <= wait <= MAX_FIRST_ANSWER_WAIT_MS
    assert alive_ms + wait == pytest.approx(MAX_FIRST_ANSWER_WAIT_MS) or wait == MIN_FIRST_ANSWER_WAIT_MS


@pytest.mark.parametrize(
    ("alive_s", "most_ms"),
    [(0.0, MAX_FIRST_ANSWER_WAIT_MS), (3.0, 4_000.0), (60.0, MIN_FIRST_ANSWER_WAIT_MS)],
)
async def test_the_time_that_the_start_took_is_not_waited_for_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, alive_s: float, most_ms: float
) -> None:
    """Guards against 7 s on top of a start that took seconds, with a small share of a core."""
    waits: list[float] = []

    async def news(_self: DiscoveryClient, within_ms: float) -> bool:
        waits.append(within_ms)
        return True

    monkeypatch.setattr(DiscoveryClient, "wait_for_first_answer", news)
    raw = raw_config(member("m-1"))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    service = Service(path, config_of(raw), began_at=asyncio.get_running_loop().time() - alive_s)
    running = asyncio.create_task(service.run())
    try:
        await until(lambda: service.port)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await service.close()
    assert len(waits) == 1
    assert MIN_FIRST_ANSWER_WAIT_MS <= waits[0] <= most_ms


def test_the_program_passes_to_its_service_when_the_process_began(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    began: list[float] = []

    class Recorded:
        def __init__(self, _path: Path, _config: Config, _selector: TimedSelector, when: float) -> None:
            began.append(when)

        async def run(self) -> None:
            pass

    monkeypatch.setattr(__main__, "Service", Recorded)
    monkeypatch.setattr(__main__, "configure_logs", lambda *_args, **_bound: None)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(member("m-1"))))
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert __main__.serve(path) == 0
    finally:
        signal.signal(signal.SIGHUP, before)
    assert began == [__main__.BEGAN_AT]
    assert time.monotonic() > __main__.BEGAN_AT


async def test_a_process_started_in_an_outage_counts_its_wait_from_its_beginning(tmp_path: Path) -> None:
    """1,100 machines in its file, and nobody answers for the list."""
    known = {"index": 1, "updates": [whole_list(1, 1_100)]}
    coordinator = f"127.0.0.1:{free_port()}"
    placer = PlacerProcess(
        "p0", config_json(0, 16, f"127.0.0.1:{free_port()}", coordinator, known), tmp_path, files=256
    )
    try:
        await placer.start()
        (await ready(placer)).cut()
        lines = [json.loads(text) for text in placer.log_path.read_text().splitlines()]
    finally:
        await placer.kill()
    (served,) = [text for text in lines if text["event"] == "no answer of the coordinator at start"]
    assert MIN_FIRST_ANSWER_WAIT_MS <= served["waited_ms"] < MAX_FIRST_ANSWER_WAIT_MS
    (serving,) = [text for text in lines if text["event"] == "serving"]
    assert serving["machines"] == 1_100


def test_the_estimate_at_a_share_of_a_core_counts_what_computes_and_what_waits() -> None:
    assert Start(ready_s=7.5, cpu_s=0.5).at_share(0.25) == pytest.approx(9.0)
    assert Start(ready_s=0.5, cpu_s=0.6).at_share(0.5) == pytest.approx(1.2)
    assert marks([float(n) for n in range(1, 11)]) == {"50%": 5.0, "90%": 9.0, "100%": 10.0}


async def test_adopting_many_tasks_opens_few_connections_at_a_time_to_receive(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a loop that opens a thousand at once: clients that come meanwhile wait for seconds."""
    stage = Stage(tmp_path)
    try:
        many = [Machine(f"m-{number}") for number in range(3 * descriptor_budget.MAX_RECONNECTING)]
        placer = await stage.start(*many, limits={"sockets": 1_024})
        opened, under_way = asyncio.open_connection, [0, 0]

        async def slow(*args: Any, **named: Any) -> Any:
            under_way[0] += 1
            under_way[1] = max(under_way)
            try:
                await asyncio.sleep(0.02)
                return await opened(*args, **named)
            finally:
                under_way[0] -= 1

        client = await placer.client()
        monkeypatch.setattr(asyncio, "open_connection", slow)
        for number, name in enumerate(stage.machines):
            client.say(offer(f"{0xF000 + number:016x}", extras=f"cores:1;memory:1;service:1;at:{name}"))
        await until(lambda: all(machine.peers for machine in stage.machines.values()))
    finally:
        await stage.stop()
    assert (
        1 < under_way[1] <= descriptor_budget.MAX_RECONNECTING + MAX_POLLS_IN_FLIGHT + 1
    )  # probes to those that wait may join


async def test_restarted_placers_adopt_all_tasks_that_are_handed_over() -> None:
    """Three of four placers, also with more tasks on one connection than its client may ask for."""
    figures = await restart(Restart(placers=4, machines=60, tasks=10_000, killed=0.75, sockets=256))
    assert figures["restarted"] == 3
    assert figures["died"] == []
    assert figures["found_before"] == 10_000
    assert figures["handed_over"] == figures["found"] == 7_500
    assert figures["bounds"] == figures["tasks_lost"] == 0
