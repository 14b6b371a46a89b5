"""Virtual time: its loop, its network, its guard, days by script, and the search over them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import yaml

from kelpfront.api.jobs import JobSpec
from kelpfront.api.meta import JOBS
from kelpfront.client import Client
from kelpfront.controller.job_controller import JobController
from kelpfront.inventory import Inventory
from kelpfront.lab.timeline.emulation import EPOCH_S, Emulation, Played, emulate, play
from kelpfront.lab.timeline.guard import RealWorldError, sealed
from kelpfront.lab.timeline.loop import DeadlockError, LivelockError, VirtualLoop, run
from kelpfront.lab.timeline.network import Network, at
from kelpfront.lab.timeline.script import ScriptError, read_day, schema
from kelpfront.lab.timeline.search import Found, broken_rules, keep, random_day, search, shrink
from kelpfront.lab.wrongplacers import WRONG, OffersToTwo

DAYS = Path(__file__).parents[2] / "kelpfront" / "lab" / "days"
SHORT = "name: short\nseconds: 4\nsettle: 8\nmachines: 3\nplacers: 1\nrate: 8\nlife_ms: 800\n"


def on_network(main: Callable[[Network], Awaitable[Any]], seed: int = 1) -> Any:
    loop = VirtualLoop()
    network = loop.network = Network(seed)
    return run(main(network), loop)


# ---- The loop ---------------------------------------------------------------------------------------------


def test_a_day_passes_in_no_time_and_timers_come_in_order() -> None:
    seen: list[str] = []

    async def main() -> float:
        loop = asyncio.get_running_loop()
        loop.call_later(2.0, seen.append, "second, set first")
        loop.call_later(1.0, seen.append, "first")
        loop.call_later(2.0, seen.append, "second, set then")
        loop.call_later(2.0, loop.call_soon, seen.append, "made ready by the second")
        await asyncio.sleep(86_400.0)
        return loop.time()

    began = time.monotonic()
    assert run(main()) == pytest.approx(86_400.0)
    assert time.monotonic() - began < 5.0
    assert seen == ["first", "second, set first", "second, set then", "made ready by the second"]


def test_nothing_left_to_happen_is_an_error_with_that_name() -> None:
    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(DeadlockError, match="nothing is left"):
        run(main())


def test_threads_and_descriptors_have_no_place() -> None:
    async def main() -> None:
        await asyncio.to_thread(print)

    with pytest.raises(RuntimeError, match="threads"):
        run(main())


def test_cancellation_in_the_middle_of_every_await() -> None:
    """A task with several awaits is cancelled at each of its instants; its end always runs."""

    async def work(log: list[str]) -> None:
        try:
            for step in range(5):
                await asyncio.sleep(1.0)
                log.append(f"step {step}")
        finally:
            log.append("end")

    async def main() -> list[int]:
        counts = []
        for cut in range(6):
            log: list[str] = []
            task = asyncio.create_task(work(log))
            await asyncio.sleep(cut + 0.5)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert log[-1] == "end"
            counts.append(len(log) - 1)
        return counts

    assert run(main()) == [0, 1, 2, 3, 4, 5]


# ---- The network ------------------------------------------------------------------------------------------


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(65_536):
        writer.write(data)
        await writer.drain()
    writer.close()


def test_bytes_arrive_in_order_and_later() -> None:
    async def main(network: Network) -> tuple[bytes, float]:
        network.usual.jitter_s = 0.5
        with at("server"):
            await asyncio.start_server(echo, "server", 80)
        reader, writer = await asyncio.open_connection("server", 80)
        sent = bytes(range(256)) * 40
        for start in range(0, len(sent), 100):
            writer.write(sent[start : start + 100])
            await asyncio.sleep(0.001)
        writer.write_eof()
        return await reader.read(), asyncio.get_running_loop().time()

    got, took = on_network(main)
    assert got == bytes(range(256)) * 40 and took > 0.5


def test_nobody_there_is_refused_and_a_crash_is_a_reset() -> None:
    async def main(network: Network) -> None:
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("server", 80)

        async def break_off(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        await asyncio.start_server(break_off, "server", 80)
        reader, _ = await asyncio.open_connection("server", 80)
        with pytest.raises(ConnectionResetError):
            await reader.read()

    on_network(main)


def test_a_one_way_cut_holds_what_is_sent_and_lets_the_rest_pass() -> None:
    async def main(network: Network) -> list[tuple[str, float]]:
        with at("server"):
            await asyncio.start_server(echo, "server", 80)
        reader, writer = await asyncio.open_connection("server", 80)
        loop = asyncio.get_running_loop()
        seen = []
        network.cut("server", "outside")
        writer.write(b"a")
        loop.call_later(5.0, network.heal, "server", "outside")
        seen.append(((await reader.read(1)).decode(), round(loop.time(), 1)))
        network.cut("outside", "server")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.0):
                await asyncio.open_connection("server", 80)
        network.heal("outside", "server")
        writer.write(b"b")
        seen.append(((await reader.read(1)).decode(), round(loop.time(), 1)))
        return seen

    assert on_network(main) == [("a", 5.0), ("b", 7.0)]


def test_what_was_given_up_during_a_cut_never_arrives() -> None:
    async def main(network: Network) -> list[bytes]:
        got: list[bytes] = []

        async def keep_it(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                got.append(data)

        with at("server"):
            await asyncio.start_server(keep_it, "server", 80)
        _, writer = await asyncio.open_connection("server", 80)
        network.cut("outside", "server")
        writer.write(b"late")
        writer.transport.abort()
        network.heal("outside", "server")
        await asyncio.sleep(5.0)
        return got

    assert on_network(main) == []


def test_a_slow_reader_holds_up_the_writer() -> None:
    async def main(network: Network) -> tuple[bool, int]:
        done = asyncio.Event()

        async def pour(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(100):
                writer.write(b"x" * 10_000)
                await writer.drain()
            writer.close()
            done.set()

        await asyncio.start_server(pour, "server", 80)
        reader, _ = await asyncio.open_connection("server", 80, limit=10_000)
        await asyncio.sleep(10.0)
        held = not done.is_set()
        size = 0
        while data := await reader.read(4_096):
            size += len(data)
        return held, size

    assert on_network(main) == (True, 1_000_000)


# ---- The guard --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("reach", "what"),
    [
        (lambda: time.time(), "time.time"),
        (lambda: time.perf_counter(), "time.perf_counter"),
        (lambda: time.sleep(0), "time.sleep"),
        (lambda: random.random(), "random.random"),
        (lambda: os.urandom(8), "os.urandom"),
        (lambda: __import__("uuid").uuid4(), "uuid.uuid4"),
        (lambda: __import__("socket").socket(), "socket.socket"),
    ],
)
def test_reaching_outside_fails_and_says_from_where(reach: Callable[[], Any], what: str) -> None:
    with sealed() as found, pytest.raises(RealWorldError, match=what):
        reach()
    assert len(found) == 1 and "test_timeline.py" in found[0]
    reach()  # afterwards all is as before


class ReadsTheClock(JobController):
    def submit(self, now: float, *args: Any, **more: Any) -> Any:
        with contextlib.suppress(RealWorldError):  # swallowed: it is told of all the same
            time.time()
        return super().submit(now, *args, **more)


def test_a_program_that_reads_the_real_clock_is_found() -> None:
    figures = emulate(read_day(SHORT, "short"), 1, controller_class=ReadsTheClock)
    assert "time.time from test_timeline.py" in figures["reached_outside"][0]
    assert emulate(read_day(SHORT, "short"), 1)["reached_outside"] == []


# ---- Days -------------------------------------------------------------------------------------------------

FAULTY = SHORT + (
    "faults:\n"
    "  - {kind: silence, at: [0.5, 1.5], lasts: [1, 2], share: 0.6}\n"
    "  - {kind: crash, at: 2, lasts: 1, share: 0.3}\n"
    "kills:\n  - {placer: 0, at: 2.5, lasts: 1}\n"
    "partitions:\n  - {at: 1, lasts: 1, between: [[p0], ['room:hall-a']], one_way: true}\n"
)


def test_the_same_seed_gives_the_same_timeline_in_every_process(tmp_path: Path) -> None:
    path = tmp_path / "day.yaml"
    path.write_text(FAULTY)
    digests = set()
    for hash_seed in ("0", "1", "random"):
        done = subprocess.run(
            [sys.executable, "-m", "kelpfront", "lab", "emulate", str(path), "--seed", "3", "--json"],
            capture_output=True,
            text=True,
            timeout=120,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            check=False,
        )
        assert done.returncode == 0, done.stderr
        digests.add(done.stdout)
    assert len(digests) == 1
    other = emulate(read_day(FAULTY, "day"), 4)
    assert other["digest"] not in digests.pop() and other["violations"] == 0


def test_the_days_of_the_laboratory_can_be_read_and_drawn() -> None:
    assert {path.stem for path in DAYS.glob("*.yaml")} >= {"bad", "calm", "partition", "rolling", "room"}
    for path in DAYS.glob("*.yaml"):
        day = read_day(path.read_text(), path.name)
        assert day.name == path.stem and day.demand_at(0.0) > 0
    assert "faults" in schema()["properties"]


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("name: [", "day.yaml:1:8: is not YAML"),
        ("- 1", "a mapping of the day's fields is expected"),
        ("name: Upper", "day.yaml: name: String should match"),
        (SHORT + "machines_: 4", "day.yaml: machines_: Extra inputs are not permitted"),
        (
            SHORT.replace("machines: 3", "machines: 6000"),
            "machines: Input should be less than or equal to 5000",
        ),
        (SHORT + "faults: [{kind: crash, at: 1, lasts: 1}]", "one of them is needed, 0 are given"),
        (
            SHORT + "faults: [{kind: burn, at: 1, lasts: 1, share: 1}]",
            "faults.0.kind: Input should be 'crash'",
        ),
        (
            SHORT + "faults: [{kind: class-fail, at: 1, lasts: 1, share: 1}]",
            "class: is needed for class-fail",
        ),
        (
            SHORT + "faults: [{kind: class-full, at: 1, lasts: 1, share: 1, class: nope}]",
            "class 'nope' is not one of blend, ingest, web",
        ),
        (SHORT + "faults: [{kind: crash, at: 1, lasts: 1, room: attic}]", "faults.0.room: 'attic'"),
        (SHORT + "kills: [{placer: 4, at: 1, lasts: 1}]", "kills.0.placer: there are 1, from 0"),
        (
            SHORT + "faults: [{kind: crash, at: 1, lasts: 1, machines: [n9]}]",
            "'n9' is not one of n000, n001, n002",
        ),
        (
            SHORT + "faults: [{kind: crash, at: 1, lasts: 1, rack: r}]",
            "faults.0.rack: 'r' is not one of any, rack-",
        ),
        (
            SHORT + "partitions: [{at: 1, lasts: 1, between: [[p7], [owners]]}]",
            "partitions.0.between: 'p7' is not one of n000",
        ),
        (SHORT + "settings: '[kind small]'", "day.yaml: settings"),
    ],
)
def test_what_is_wrong_with_a_day_is_named_with_its_place(text: str, told: str) -> None:
    with pytest.raises(ScriptError) as caught:
        read_day(text, "day.yaml")
    assert told in str(caught.value)


# ---- The search -------------------------------------------------------------------------------------------


def quick(seed: int) -> dict[str, Any]:
    """A random day that plays in a second or two."""
    data = random_day(seed)
    for name in ("faults", "kills", "partitions"):
        for one in data.get(name, ()):
            one["at"] = round(one["at"] * 0.3, 2)
    return {**data, "seconds": 5.0, "settle": 7.0, "rate": 8.0, "machines": 3}


def test_a_random_day_is_the_same_for_its_seed_and_breaks_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    assert random_day(5) == random_day(5) != random_day(6)
    monkeypatch.setattr("kelpfront.lab.timeline.search.random_day", quick)
    assert search(5, 2) == (2, [])


@pytest.mark.parametrize("name", ["ForgetsToAnswer", "OffersToTwo", "Oversleeps"])
def test_a_wrong_placer_is_found_within_some_days(name: str) -> None:
    assert any(broken_rules(quick(seed), seed, WRONG[name]) for seed in range(6)), f"{name} went unseen"


@pytest.mark.parametrize(
    ("name", "seed", "rule"),
    [("NeverStops", 703, "strays"), ("NeverStops", 705, "strays"), ("GateOpenToDrains", 705, "drains")],
)
def test_what_the_judge_was_blind_to_is_found_by_its_rule(name: str, seed: int, rule: str) -> None:
    """Guards against copies that run on unseen, and drains that begin while offers wait at the gate."""
    assert rule in broken_rules(random_day(seed), seed, WRONG[name])
    assert broken_rules(random_day(seed), seed) == {}


def test_a_day_that_fails_is_made_small_and_kept(tmp_path: Path) -> None:
    data = quick(2)
    rules = broken_rules(data, 2, OffersToTwo)
    assert "one-attempt" in rules
    small, runs = shrink(data, 2, "one-attempt", OffersToTwo, most=8)
    assert 0 < runs <= 8
    assert len(small.get("faults", ())) < len(data["faults"]) or small["seconds"] < data["seconds"]
    path = keep(Found(2, "one-attempt", rules["one-attempt"], small, runs), tmp_path / "kept")
    day = read_day(path.read_text(), path.name)
    assert emulate(day, 2, controller_class=OffersToTwo)["by_rule"]["one-attempt"] > 0


def test_time_that_stands_still_is_an_error_with_that_name() -> None:
    async def main() -> None:
        while True:  # noqa: ASYNC110 - what is to be found
            await asyncio.sleep(0)

    with pytest.raises(LivelockError, match="time stands still"):
        run(main())


# ---- Parties that stand still, clocks that are wrong, herds ----------------------------------------------


def test_a_place_that_stands_still_runs_what_waited_in_its_order_and_others_go_on() -> None:
    seen: list[tuple[str, float]] = []

    async def party(name: str) -> None:
        for _ in range(3):
            await asyncio.sleep(1.0)
            seen.append((name, asyncio.get_running_loop().time()))

    async def main(loop: VirtualLoop) -> None:
        tasks = []
        for name in ("still", "other"):
            with at(name):
                tasks.append(loop.create_task(party(name)))
        with at("still"):
            loop.call_later(1.6, seen.append, ("first timer", 1.6))
            loop.call_later(1.7, seen.append, ("second timer", 1.7))
        await asyncio.sleep(1.5)
        loop.stall("still")
        await asyncio.sleep(3.0)
        loop.resume("still")
        await asyncio.gather(*tasks)

    loop = VirtualLoop()
    run(main(loop), loop)
    assert [name for name, _ in seen] == [
        "still", "other", "other", "other", "first timer", "second timer", "still", "still",
    ]  # fmt: skip
    assert [t for name, t in seen if name == "still"] == pytest.approx([1.0, 4.5, 5.5])


def test_what_comes_to_a_place_that_stands_still_is_heard_when_it_goes_on() -> None:
    async def main(network: Network) -> tuple[bytes, float]:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        heard: asyncio.Future[tuple[bytes, float]] = loop.create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            heard.set_result((await reader.read(10), loop.time()))
            writer.close()

        with at("server"):
            await asyncio.start_server(serve, "server", 80)
        loop.stall("server")
        with at("client"):
            _, writer = await asyncio.open_connection("server", 80)  # its host takes the connection
            writer.write(b"early")
        await asyncio.sleep(5.0)
        assert not heard.done()
        loop.resume("server")
        return await heard

    data, when = on_network(main)
    assert data == b"early"
    assert when == pytest.approx(5.0, abs=0.01)


STALLED = (
    SHORT + "herds:\n  - {at: 1.0, jobs: 40, within: 0.2}\nstalls:\n  - {placer: 0, at: 1.5, lasts: 2}\n"
)


def test_a_placer_that_stands_still_keeps_the_rules_and_a_herd_is_answered() -> None:
    figures = emulate(read_day(STALLED, "test"), 3)
    assert figures["violations"] == 0, figures["examples"]
    assert figures["jobs"] > 40
    taken = sum(figures["answers"].values()) + sum(figures["rejected"].values())
    assert taken == figures["jobs"]


def test_a_stall_excuses_only_what_could_not_be_done_in_it() -> None:
    day = read_day(
        SHORT.replace("rate: 8", "rate: 16")
        + "faults:\n  - {kind: drain, at: 1.5, lasts: 3, share: 1.0}\n"
        + "stalls:\n  - {placer: 0, at: 1.2, lasts: 1}\n",
        "test",
    )
    assert emulate(day, 1)["violations"] == 0
    assert emulate(day, 1, controller_class=WRONG["DeafToDrains"])["by_rule"]["drains"]
    crowded = read_day(
        SHORT.replace("machines: 3", "machines: 1")
        + "herds:\n  - {at: 1.0, jobs: 160}\nstalls:\n  - {placer: 0, at: 1.4, lasts: 7}\n",
        "test",
    )
    assert emulate(crowded, 1)["violations"] == 0
    assert emulate(crowded, 1, controller_class=WRONG["ForgetsToAnswer"])["by_rule"]["one-answer"]


def test_wrong_clocks_change_no_answer() -> None:
    skewed = SHORT + "skews:\n  - {place: n001, ms: -20000}\n  - {place: owners, ms: [-300, 300]}\n"
    figures = emulate(read_day(skewed, "test"), 2)
    assert figures["violations"] == 0, figures["examples"]
    assert figures["answers"]["Placed"] == figures["jobs"]


def test_machines_are_taken_in_waves() -> None:
    day = read_day(
        SHORT.replace("machines: 3", "machines: 5")
        + "faults:\n  - {kind: drain, at: 1, lasts: 2, share: 1.0, at_a_time: 2, every: 1.5}\n",
        "test",
    )
    loop = VirtualLoop()
    emulation = Emulation(day, 1, loop, Network(1))
    planned = Inventory("test", {host.name: host for host in emulation.hosts})
    faults = day.draw(random.Random(1), emulation.fleet.machines, planned).faults
    assert [(fault.at_s, len(fault.hosts)) for fault in faults] == [(1.0, 2), (2.5, 2), (4.0, 1)]
    assert len({name for fault in faults for name in fault.hosts}) == 5


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("stalls:\n  - {placer: 7, at: 1, lasts: 1}\n", "stalls.0.placer"),
        ("skews:\n  - {place: nowhere, ms: 5}\n", "skews.0.place: 'nowhere'"),
        ("herds:\n  - {at: 1, jobs: 0}\n", "herds.0.jobs"),
    ],
)
def test_a_stall_skew_or_herd_that_cannot_be_is_refused(text: str, named: str) -> None:
    with pytest.raises(ScriptError) as caught:
        read_day(SHORT + text, "test")
    assert named in str(caught.value)


def test_a_drain_that_is_told_over_a_cut_counts_from_when_it_is_heard() -> None:
    """A day of the search: told at 10.4 s and heard at 12.1 s, where an offer came out of the cut with it."""
    assert broken_rules(random_day(15), 15) == {}
    assert "drains" in broken_rules(random_day(15), 15, WRONG["DeafToDrains"])
    assert "drains" in broken_rules(random_day(15), 15, WRONG["TrustsTheFirstDrain"])


def test_what_is_not_due_when_a_day_is_broken_off_is_no_fault_and_what_is_due_is() -> None:
    crowded = SHORT.replace("machines: 3", "machines: 1").replace("settle: 8", "settle: 1")
    crowded += "herds:\n  - {at: 3.5, jobs: 160}\n"
    cut_short = emulate(read_day(crowded, "test"), 1)
    assert cut_short["violations"] == 0
    assert cut_short["open_at_end"] > 10
    whole = read_day(crowded.replace("settle: 1", "settle: 8"), "test")
    assert emulate(whole, 1)["open_at_end"] == 0
    assert emulate(whole, 1, controller_class=WRONG["ForgetsToAnswer"])["by_rule"]["one-answer"]


def test_a_hot_service_gets_its_share_and_heavy_tasks_live_longer() -> None:
    plain = SHORT.replace("seconds: 4", "seconds: 8") + "services: 4\n"
    hot = play(read_day(plain + "hot:\n  - {at: 0, lasts: 60, share: 1.0}\n", "test"), 1)
    assert {line["service"].rpartition("-")[2] for line in hot.lines if line["ev"] == "offer"} == {"0"}
    usual = play(read_day(plain, "test"), 1)
    assert len({line["service"] for line in usual.lines if line["ev"] == "offer"}) > 6
    heavy = (
        plain + "faults:\n  - {kind: heavy, at: 0, lasts: 60, share: 1.0, class: web, value: 1.0, times: 8}\n"
    )
    slow = play(read_day(heavy, "test"), 1)

    def lives(played: Played) -> float:
        starts = {line["task"]: line["t"] for line in played.lines if line["ev"] == "start"}
        of_web = {line["task"] for line in played.lines if line["ev"] == "offer" and line["cls"] == "web"}
        ends = [(line["task"], line["t"]) for line in played.lines if line["ev"] == "end"]
        found = [t - starts[task] for task, t in ends if task in of_web]
        return float(sum(found) / len(found))

    assert lives(slow) > 3 * lives(usual)


def test_a_callback_that_blocks_is_found_and_named() -> None:
    def computes() -> None:
        began = time.perf_counter()
        while time.perf_counter() - began < 0.7:
            pass

    async def main() -> None:
        asyncio.get_running_loop().call_later(3.0, computes)
        await asyncio.sleep(5.0)

    loop = VirtualLoop()
    run(main(), loop)
    (text,) = loop.blocked
    assert "virtual second 3.000" in text
    assert "computes" in text


def test_a_client_that_is_cancelled_at_any_await_harms_nobody() -> None:
    """An owner goes away after k steps of 30 us, for every k until its answer has come."""
    day = read_day(SHORT, "test")
    loop = VirtualLoop()
    network = loop.network = Network(5)
    errors: list[str] = []
    loop.set_exception_handler(lambda _, context: errors.append(str(context)))

    async def main() -> tuple[int, dict[str, int]]:
        emulation = Emulation(day, 1, loop, network)
        hosts = await emulation.fleet.start()
        emulation.inventory = Inventory("test", {host.name: host for host in hosts})
        await emulation.start_placer(emulation.placers[0])
        service = emulation.placers[0].service
        assert service is not None
        cancelled = 0
        with at("owners"):
            for steps in range(400):
                client = Client("http://p0:8140", seed=steps, wall=lambda: EPOCH_S + loop.time())

                async def owner(client: Client = client, steps: int = steps) -> None:
                    spec = {
                        "class": "web",
                        "service": "s",
                        "cores": 0.1,
                        "memory": 0.1,
                        "clientToken": f"t{steps}",
                    }
                    job = await client.submit("lab", JobSpec.model_validate(spec), name=f"j{steps}")
                    await client.wait_answers(job)

                task = loop.create_task(owner())
                await asyncio.sleep(steps * 30e-6)
                cancelled += task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                client.close()
            await asyncio.sleep(12.0)
        answers: dict[str, int] = {}
        for stored in service.store.objects(JOBS):
            for task_of in stored.body["status"]["tasks"]:
                answers[task_of["answer"]] = answers.get(task_of["answer"], 0) + 1
        assert service.controller.open_tasks == 0
        assert service.http.connections == 0
        await service.close()
        emulation.fleet.close()
        return cancelled, answers

    cancelled, answers = run(main(), loop)
    assert errors == []
    assert cancelled > 300
    assert answers["Placed"] > 200


CORPUS = sorted((Path(__file__).parents[1] / "corpus" / "days").glob("*.yaml"))


@pytest.mark.parametrize("path", CORPUS, ids=lambda path: path.stem)
def test_days_that_found_a_wrong_placer_find_it_again_and_acquit_the_right_one(path: Path) -> None:
    """Made small by the search; NAME-SEED.yaml, with the rule that is broken at the end of `about`."""
    wrong, _, seed = path.stem.rpartition("-")
    data = yaml.safe_load(path.read_text())
    assert broken_rules(data, int(seed)) == {}
    rule = data["about"].rpartition(" ")[2]
    assert rule in broken_rules(data, int(seed), WRONG[wrong])


def test_every_wrong_placer_has_its_day() -> None:
    assert {path.stem.rpartition("-")[0] for path in CORPUS} == set(WRONG)


MENDED = sorted((Path(__file__).parents[1] / "corpus" / "mended").glob("*.yaml"))


@pytest.mark.parametrize("path", MENDED, ids=lambda path: path.stem)
def test_days_on_which_program_or_checker_was_wrong_once_are_kept(path: Path) -> None:
    """Found and made small by the search; NAME-SEED.yaml."""
    assert broken_rules(yaml.safe_load(path.read_text()), int(path.stem.rpartition("-")[2])) == {}


def test_what_lies_unread_after_a_stall_is_heard_before_what_is_due(monkeypatch: pytest.MonkeyPatch) -> None:
    path = next(path for path in MENDED if path.stem.startswith("stood-still"))
    data, seed = yaml.safe_load(path.read_text()), int(path.stem.rpartition("-")[2])
    monkeypatch.setattr("kelpfront.service.control_loop.SOCKET_CATCH_UP_ITERATIONS", 0)
    assert "spread" in broken_rules(data, seed)
