"""Several processes of the program, and faults between them."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from waiting import until

from kelpfront.lab.fleet import ports
from kelpfront.lab.fleet.coldstart import ColdStart, Run
from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.processes import LAST_BYTES, PlacerProcess, last_lines
from kelpfront.lab.fleet.proxy import FaultProxy
from kelpfront.lab.fleet.settings import config_json, whole_list
from kelpfront.lab.platform import event, member
from kelpfront.platform.config import parse_address
from kelpfront.platform.discovery_client import DiscoveryClient
from kelpfront.platform.poll_pacing import HEDGE_DELAY_MS, MAX_HEDGE_DELAY_MS, PollPacing
from kelpfront.platform.timeouts import POLL_WAIT_MS

PLACERS = 8


async def started(tmp_path: Path, **changes: object) -> Run:
    run = Run(ColdStart(placers=PLACERS, **changes), tmp_path)  # type: ignore[arg-type]
    figures = await run.run()
    assert figures["died"] == [], "\n".join(figures["deaths"])
    assert figures["ready_s"]["100%"] is not None, figures
    assert figures["told_s"]["100%"] is not None, figures
    return run


async def test_a_service_that_falls_behind_is_not_buried_and_all_placers_get_their_list(
    tmp_path: Path,
) -> None:
    """Guards against asks given up and sent anew: the line grows, and no answer finds its asker any more.

    One answer a second for eight placers takes 8 s. Each used to give up after 1.5 s and ask again.
    """
    await started(tmp_path, rate=1.0, longest_s=60.0)


async def test_a_service_that_comes_up_late_and_breaks_off_is_found_by_all(tmp_path: Path) -> None:
    run = await started(tmp_path, rate=50.0, up_after_s=2.0, down_at_s=0.1, down_for_s=1.0)
    assert run.service.count("answer") >= PLACERS


async def test_placers_that_have_a_list_are_ready_without_the_service(tmp_path: Path) -> None:
    run = Run(ColdStart(placers=2, up_after_s=60.0, with_file=1.0, longest_s=60.0), tmp_path)
    run.service.first = lambda what: {"p0": 0.0, "p1": 0.0}  # type: ignore[method-assign]  # nobody waits for it
    figures = await run.run()
    assert figures["ready_s"]["100%"] is not None


@pytest.fixture
async def service() -> AsyncIterator[ListService]:
    its = ListService(updates=[whole_list(1, 3)])
    await its.start()
    yield its
    await its.stop()


class Listener:
    """A follower in the test's own loop, and what it took."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.index = 0
        where = parse_address(f"{address[0]}:{address[1]}", "coordinator")
        self.follower = DiscoveryClient(where, lambda: self.index, self.take, random.Random(1), 500.0)

    def take(self, raw: dict[str, int]) -> None:
        self.index = raw["index"]


async def test_a_way_that_swallows_everything_costs_one_more_ask(service: ListService) -> None:
    """Silent, half open: the connection stands. The ask beside it goes out on a connection of its own."""
    proxy = FaultProxy(("127.0.0.1", service.port), 1)
    await proxy.start()
    listener = Listener(proxy.address)
    listener.follower.start()
    try:
        await until(lambda: listener.index == 1)
        proxy.path.down.drops = True
        service.tell(event(2, member("m-2")))
        await until(lambda: proxy.connections >= 2)
        proxy.path.down.drops = False  # what was swallowed stays swallowed
        await until(lambda: listener.index == 2)
    finally:
        listener.follower.stop()
        await proxy.close()


@pytest.mark.parametrize("fault", ["cut in a message", "refused", "narrow", "late"])
async def test_the_list_comes_through_faults_on_the_way(service: ListService, fault: str) -> None:
    proxy = FaultProxy(("127.0.0.1", service.port), 2)
    match fault:
        case "cut in a message":
            proxy.path.down.cut_after = 90
        case "refused":
            proxy.path.refuses = True
        case "narrow":
            proxy.path.down.bytes_a_second = 2_000.0
        case "late":
            proxy.path.up.delay_ms, proxy.path.up.jitter_ms = 200.0, 300.0
    await proxy.start()
    listener = Listener(proxy.address)
    listener.follower.start()
    try:
        if fault in ("cut in a message", "refused"):
            await until(lambda: proxy.connections >= 3)
            assert listener.index == 0
            proxy.path.down.cut_after, proxy.path.refuses = -1, False
        await until(lambda: listener.index == 1)
    finally:
        listener.follower.stop()
        await proxy.close()


async def test_what_the_service_says_is_too_much_is_asked_for_later() -> None:
    service = ListService(rate=5.0, updates=[whole_list(1, 2)], retry_after_s=1, line_most=0)
    await service.start()
    listener = Listener(("127.0.0.1", service.port))
    listener.follower.start()
    try:
        await until(lambda: service.count("turned") >= 2)
        turned = [one.at for one in service.seen if one.what == "turned"]
        assert turned[1] - turned[0] >= 0.9
        service.line_most = 10
        await until(lambda: listener.index == 1)
    finally:
        listener.follower.stop()
        await service.stop()


def test_patience_follows_what_was_slow_and_nothing_else() -> None:
    pace = PollPacing(random.Random(3))
    assert pace.hedge_delay_ms == HEDGE_DELAY_MS
    pace.on_answer(1_010.0)
    assert pace.hedge_delay_ms == HEDGE_DELAY_MS  # a poll that waited its second out was not slow
    pace.on_answer(1_600.0)
    assert HEDGE_DELAY_MS < pace.hedge_delay_ms < MAX_HEDGE_DELAY_MS
    pace.on_answer(3_600_000.0)
    assert pace.hedge_delay_ms == MAX_HEDGE_DELAY_MS


@given(
    st.lists(st.one_of(st.floats(0, 1e7), st.just("break"), st.just("busy"), st.just("moved")), max_size=50)
)
def test_no_order_of_slow_and_broken_answers_makes_the_placer_deaf(history: list[float | str]) -> None:
    """Guards against one slow answer that left a silent watch unnoticed for up to 20 s, and drains with it.

    What a silent service would have told counts as told 2 s after the end of the wait that was asked for;
    what one tells that is back after a break counts at once, and a drain is to be kept half a second later.
    """
    pace = PollPacing(random.Random(5))
    for what in history:
        if isinstance(what, float):
            pace.on_answer(what)
        elif what == "moved":
            pace.reset()
        elif what == "busy":
            pace.on_overloaded(retry_after_s=0.0)
        else:
            assert pace.on_failure() <= 200.0
        assert HEDGE_DELAY_MS <= pace.hedge_delay_ms < POLL_WAIT_MS + 2_000.0


def test_pauses_are_short_after_a_break_and_long_after_a_word_of_too_much() -> None:
    pace = PollPacing(random.Random(4))
    assert max(pace.on_failure() for _ in range(20)) <= 200.0
    assert 1_000.0 <= pace.on_overloaded(retry_after_s=0.0) <= 1_500.0
    assert 3_000.0 <= pace.on_overloaded(retry_after_s=3.0) <= 4_500.0
    assert pace.on_overloaded(retry_after_s=3_600.0) <= 7_500.0


async def test_a_stopped_placer_goes_on_where_it_was(tmp_path: Path) -> None:
    service = ListService(updates=[whole_list(1, 3)])
    await service.start()
    config = config_json(0, 1, "127.0.0.1:0", f"127.0.0.1:{service.port}", {"index": 0, "updates": []})
    placer = PlacerProcess("p0", config, tmp_path)
    try:
        await placer.start()
        await until(lambda: service.count("answer") >= 1)
        placer.stop()
        service.tell(event(2, member("m-2")))
        await asyncio.sleep(1.0)
        placer.go_on()
        answered = service.count("answer")
        await until(lambda: service.count("answer") > answered + 1)
        assert placer.alive
        assert await placer.end() == 0
    finally:
        await placer.kill()
        await service.stop()


async def test_the_rig_tells_how_each_life_of_a_process_ended(tmp_path: Path) -> None:
    """Guards against a placer that died and nobody knew of what."""
    config = config_json(0, 1, "127.0.0.1:0", "127.0.0.1:1", {"index": 0, "updates": []})
    placer = PlacerProcess("p0", config, tmp_path)
    try:
        await placer.start()
        await until(lambda: b"coordinator lost" in placer.log_path.read_bytes())
        os.kill(placer.pid, signal.SIGKILL)  # not by the rig
        await until(lambda: len(placer.ends) == 1)
        placer.config = config | {"listen": "nowhere"}
        await placer.start()
        await until(lambda: len(placer.ends) == 2)
        placer.config = config
        await placer.start()
        await until(lambda: placer.log_path.read_bytes().count(b"coordinator lost") == 2)
        assert await placer.end() == 0
    finally:
        await placer.kill()
    killed, misled, told = placer.ends
    assert (killed.life, killed.exit_code, killed.signal, killed.wanted) == (1, None, "SIGKILL", False)
    assert "coordinator lost" in killed.last_lines[-1] and not placer.alive
    assert (misled.life, misled.exit_code, misled.signal, misled.wanted) == (2, 2, "", False)
    (line,) = misled.last_lines
    assert "expected HOST:PORT, got" in line and line in str(misled) and "exit code 2" in str(misled)
    assert (told.life, told.exit_code, told.signal, told.wanted) == (3, 0, "", True)


def test_of_a_long_log_the_last_lines_are_kept(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text("of a former life\n" + "".join(f"{number}\n" for number in range(100)))
    assert last_lines(log, 17) == tuple(str(number) for number in range(60, 100))
    log.write_text("x" * 1_000_000)
    assert sum(map(len, last_lines(log, 0))) == LAST_BYTES
    assert last_lines(tmp_path / "none", 0) == ()


async def test_a_cold_start_tells_what_a_placer_died_of(tmp_path: Path) -> None:
    run = Run(ColdStart(placers=2, rate=0.0, longest_s=5.0), tmp_path)
    make = run._make

    def with_a_bad_one() -> None:
        make()
        run.placers[1].config["limits"] = {"sockets": 1}

    run._make = with_a_bad_one  # type: ignore[method-assign]
    figures = await run.run()
    assert figures["died"] == ["p1"]
    (death,) = figures["deaths"]
    assert death.startswith("p1, life 1: exit code 2") and "limits: sockets" in death


def test_ports_that_are_bound_later_are_given_to_nobody_meanwhile(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a listener that finds its port taken: by one that asked for any, or by a connection."""
    low, high = (int(number) for number in ports.RANGE.read_text().split())
    found = {ports.free_port() for _ in range(20)}
    assert not any(low <= port <= high for port in found)
    held, other = list(found)[:2]
    draws = iter((held, other))
    monkeypatch.setattr(random, "choice", lambda ports: next(draws))
    with socket.socket() as taken:  # on one address alone; the list service wants all
        taken.bind(("127.0.0.9", held))
        assert ports.free_port() == other


RIG = """
import asyncio, os, sys
from pathlib import Path
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.settings import config_json
if sys.argv[2] == "a child fails after a fork":
    os.register_at_fork(after_in_child=lambda: os._exit(66))
async def main():
    config = config_json(0, 1, "127.0.0.1:0", "127.0.0.1:1", {"index": 0, "updates": []})
    placer = PlacerProcess("p0", config, Path(sys.argv[1]))
    await placer.start()
    while placer.alive and b"coordinator lost" not in placer.log_path.read_bytes():
        await asyncio.sleep(0.01)
    print(placer.pid if placer.alive else placer.ends[0], flush=True)
    await asyncio.sleep(60)
asyncio.run(main())
"""


def rig(tmp_path: Path, how: str = "") -> subprocess.Popen[str]:
    """A process that starts a placer, and tells its number or how it ended."""
    command = [sys.executable, "-c", RIG, str(tmp_path), how]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def test_a_placer_starts_whatever_libraries_do_after_a_fork(tmp_path: Path) -> None:
    """Guards against a child that dies between fork and exec: of gRPC's handlers, where gRPC is in use."""
    with rig(tmp_path, "a child fails after a fork") as process:
        assert process.stdout is not None
        assert process.stdout.readline().strip().isdigit()
        process.kill()


def test_placers_die_with_the_rig(tmp_path: Path) -> None:
    """Guards against processes that are left behind by a rig that was killed."""
    with rig(tmp_path) as process:
        assert process.stdout is not None
        pid = int(process.stdout.readline())
        os.kill(pid, 0)
        process.send_signal(signal.SIGKILL)
        process.wait()
    deadline = time.monotonic() + 20.0
    while time.monotonic() < deadline:
        try:
            os.kill(pid, 0)
        except ProcessLookupError:
            return
        stat = Path(f"/proc/{pid}/stat")
        if stat.exists() and stat.read_text().rpartition(")")[2].split()[0] == "Z":
            return  # dead, and not yet reaped by whoever is its parent now
        time.sleep(0.02)
    raise AssertionError("the placer lives on")
