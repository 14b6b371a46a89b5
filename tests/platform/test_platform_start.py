"""Tests when a starting placer accepts clients: after the first list answer, or after a maximum wait."""

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
from platforms import PlacerFixture, raw_config
from waiting import until

from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.restart import Restart, Start, marks, restart
from kelpfront.lab.fleet.settings import config_json, whole_list
from kelpfront.lab.platform import Machine, member, offer
from kelpfront.platform import __main__, descriptor_budget
from kelpfront.platform.config import Config, parse_config
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
    ("process_age_s", "max_wait_ms"),
    [(0.0, MAX_FIRST_ANSWER_WAIT_MS), (3.0, 4_000.0), (60.0, MIN_FIRST_ANSWER_WAIT_MS)],
)
async def test_the_duration_of_the_start_counts_towards_the_wait_for_the_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, process_age_s: float, max_wait_ms: float
) -> None:
    """Guards against waiting 7 s after a start that took seconds itself, on a small share of a core."""
    waits: list[float] = []

    async def answer_at_once(_self: DiscoveryClient, timeout_ms: float) -> bool:
        waits.append(timeout_ms)
        return True

    monkeypatch.setattr(DiscoveryClient, "wait_for_first_answer", answer_at_once)
    raw = raw_config(member("m-1"))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    service = Service(path, parse_config(raw), began_at=asyncio.get_running_loop().time() - process_age_s)
    running = asyncio.create_task(service.run())
    try:
        await until(lambda: service.port)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await service.close()
    assert len(waits) == 1
    assert MIN_FIRST_ANSWER_WAIT_MS <= waits[0] <= max_wait_ms


def test_the_program_passes_the_start_time_of_the_process_to_its_service(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    start_times: list[float] = []

    class RecordingService:
        def __init__(self, _path: Path, _config: Config, _selector: TimedSelector, began_at: float) -> None:
            start_times.append(began_at)

        async def run(self) -> None:
            pass

    monkeypatch.setattr(__main__, "Service", RecordingService)
    monkeypatch.setattr(__main__, "configure_logs", lambda *_args, **_bound: None)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(member("m-1"))))
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert __main__.serve(path) == 0
    finally:
        signal.signal(signal.SIGHUP, before)
    assert start_times == [__main__.BEGAN_AT]
    assert time.monotonic() > __main__.BEGAN_AT


async def test_a_process_started_in_an_outage_counts_its_wait_from_its_beginning(tmp_path: Path) -> None:
    """The file lists 1,100 machines, and no coordinator answers."""
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
    (timed_out,) = [entry for entry in lines if entry["event"] == "no answer of the coordinator at start"]
    assert MIN_FIRST_ANSWER_WAIT_MS <= timed_out["waited_ms"] < MAX_FIRST_ANSWER_WAIT_MS
    (serving,) = [entry for entry in lines if entry["event"] == "serving"]
    assert serving["machines"] == 1_100


def test_the_estimate_at_a_share_of_a_core_scales_cpu_time_but_not_waiting() -> None:
    assert Start(ready_s=7.5, cpu_s=0.5).at_share(0.25) == pytest.approx(9.0)
    assert Start(ready_s=0.5, cpu_s=0.6).at_share(0.5) == pytest.approx(1.2)
    assert marks([float(n) for n in range(1, 11)]) == {"50%": 5.0, "90%": 9.0, "100%": 10.0}


async def test_adopting_many_tasks_opens_few_connections_at_a_time_to_receive(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against opening a thousand connections at once, while new clients wait for seconds."""
    stage = PlacerFixture(tmp_path)
    try:
        machines = [Machine(f"m-{number}") for number in range(3 * descriptor_budget.MAX_RECONNECTING)]
        placer = await stage.start(*machines, limits={"sockets": 1_024})
        open_connection, opening = asyncio.open_connection, [0, 0]

        async def open_slowly(*args: Any, **kwargs: Any) -> Any:
            opening[0] += 1
            opening[1] = max(opening)
            try:
                await asyncio.sleep(0.02)
                return await open_connection(*args, **kwargs)
            finally:
                opening[0] -= 1

        client = await placer.client()
        monkeypatch.setattr(asyncio, "open_connection", open_slowly)
        for number, name in enumerate(stage.machines):
            client.say(offer(f"{0xF000 + number:016x}", extras=f"cores:1;memory:1;service:1;at:{name}"))
        await until(lambda: all(machine.peers for machine in stage.machines.values()))
    finally:
        await stage.stop()
    assert (
        1 < opening[1] <= descriptor_budget.MAX_RECONNECTING + MAX_POLLS_IN_FLIGHT + 1
    )  # health checks of machines that wait may open connections too


async def test_restarted_placers_adopt_all_tasks_that_are_handed_over() -> None:
    """Three of four placers restart; one connection also carries more tasks than its client may request."""
    figures = await restart(Restart(placers=4, machines=60, tasks=10_000, killed=0.75, sockets=256))
    assert figures["restarted"] == 3
    assert figures["died"] == []
    assert figures["found_before"] == 10_000
    assert figures["handed_over"] == figures["found"] == 7_500
    assert figures["bounds"] == figures["tasks_lost"] == 0
