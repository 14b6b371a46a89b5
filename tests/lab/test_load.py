"""The load tool: its arrivals, its search for the highest rate, and that stalls are not left out."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from kelpfront.cli.main import main
from kelpfront.inventory import Inventory
from kelpfront.lab.load.arrivals import Profile, TraceError, drawn, read_trace, write_trace
from kelpfront.lab.load.ramp import Outcome, Ramp
from kelpfront.lab.load.worker import ClassLoad, Worker, WorkerTask
from kelpfront.lab.timeline.emulation import EPOCH_S, Emulation
from kelpfront.lab.timeline.loop import VirtualLoop, run
from kelpfront.lab.timeline.network import Network, at
from kelpfront.lab.timeline.script import read_day

HEADER = "at_s,class,service,cores,memory,patience\n"


# ---- Arrivals ---------------------------------------------------------------------------------------------


@given(
    form=st.sampled_from(["poisson", "bursts", "diurnal"]),
    rate=st.floats(5, 200),
    peak=st.floats(1, 20),
    share=st.floats(0.05, 0.9),
)
def test_a_profile_has_the_rate_it_is_asked_for_in_the_mean(
    form: Any, rate: float, peak: float, share: float
) -> None:
    profile = Profile(form, rate, 60.0, 10.0, peak, share)
    steps = 20_000
    mean = sum(profile.at(60.0 * (step + 0.5) / steps) for step in range(steps)) / steps
    assert mean == pytest.approx(rate, rel=0.01)
    assert max(profile.at(0.01 * step) for step in range(1000)) <= profile.highest * (1 + 1e-9)


@pytest.mark.parametrize("form", ["poisson", "bursts", "diurnal"])
def test_arrivals_follow_the_profile_and_parts_add_up(form: Any) -> None:
    profile = Profile(form, 200.0, 100.0, 10.0, 6.0, 0.2)
    whole = list(profile.times(random.Random(1)))
    parts = [t for n in range(4) for t in profile.times(random.Random(f"part/{n}"), 0.25)]
    for times in (whole, parts):
        assert len(times) == pytest.approx(20_000, rel=0.04)
        assert all(0.0 < t < 100.0 for t in times)
        early = sum(1 for t in times if t % 10.0 < 2.0)
        expected = sum(profile.at(0.001 * step) for step in range(2000)) / 1000.0 / 2000.0
        assert early / len(times) == pytest.approx(expected, rel=0.08)
    assert whole == sorted(whole)


def test_arrivals_of_one_seed_are_the_same_and_classes_have_their_shares() -> None:
    profile = Profile("poisson", 100.0, 50.0)
    first, again = (
        list(drawn(profile, {"web": 3.0, "blend": 1.0}, 5, (0.5, 1.0), random.Random(7))) for _ in range(2)
    )
    assert first == again
    counts = Counter(one.cls for one in first)
    assert counts["web"] / len(first) == pytest.approx(0.75, abs=0.03)
    assert {one.service for one in first if one.cls == "web"} == {f"web-{n}" for n in range(5)}


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"rate": 0.0}, "rate"),
        ({"seconds": -1.0}, "seconds"),
        ({"peak": 0.5}, "peak"),
        ({"share": 1.0}, "share"),
    ],
)
def test_a_profile_that_cannot_be_names_its_field(change: dict[str, float], name: str) -> None:
    with pytest.raises(ValueError, match=f"^{name}: "):
        Profile(**({"form": "bursts", "rate": 1.0, "seconds": 1.0} | change))  # type: ignore[arg-type]


def test_a_trace_is_read_in_the_order_of_its_times_and_written_as_read() -> None:
    text = HEADER + "2.5,web,front,1,2,\n0.25,blend,mix,0.5,1,4s\n"
    rows = read_trace(text, "t.csv", ["web", "blend"])
    assert [one.at_s for one in rows] == [0.25, 2.5]
    assert rows[0].patience == "4s"
    assert read_trace(write_trace(rows), "again", ["web", "blend"]) == rows


@pytest.mark.parametrize(
    ("row", "named"),
    [
        ("x,web,a,1,1,", "t.csv:2: at_s: 'x'"),
        ("-1,web,a,1,1,", "t.csv:2: at_s: '-1' is not a number of 0 or more"),
        ("nan,web,a,1,1,", "t.csv:2: at_s: 'nan'"),
        ("1,other,a,1,1,", "class: 'other' is not one of web"),
        ("1,web,,1,1,", "service: a name is needed"),
        ("1,web,a,0,1,", "cores: '0' is not a number over 0"),
        ("1,web,a,1,inf,", "memory: 'inf'"),
        ("1,web,a,1", "4 fields, 6 are expected"),
    ],
)
def test_a_trace_that_is_wrong_names_row_and_column(row: str, named: str) -> None:
    with pytest.raises(TraceError) as caught:
        read_trace(f"{HEADER}{row}\n", "t.csv", ["web"])
    assert named in str(caught.value)


def test_a_trace_without_its_header_is_refused() -> None:
    with pytest.raises(TraceError, match=r"t\.csv:1: the columns are at_s,class"):
        read_trace("1,web,a,1,1,\n", "t.csv", ["web"])


# ---- The ramp ---------------------------------------------------------------------------------------------


def outcome(rate: float, **change: Any) -> Outcome:
    fields: dict[str, Any] = {
        "rate": rate,
        "sent": 1000,
        "answered": 1000,
        "turned_away": 0,
        "without_final": 0,
        "p99_ms": 20.0,
        "aim_ms": 100.0,
        "sent_late": 0,
    }
    return Outcome(**(fields | change))


@given(capacity=st.floats(30.0, 4_000.0), first=st.floats(10.0, 6_000.0))
def test_the_ramp_finds_what_is_kept(capacity: float, first: float) -> None:
    ramp = Ramp(first, 10_000.0, 0.05)
    for _ in range(80):
        if ramp.done:
            break
        ramp.take(outcome(ramp.rate, p99_ms=50.0 if ramp.rate <= capacity else 500.0))
    assert ramp.done
    assert ramp.not_kept is not None
    assert ramp.kept <= capacity < ramp.not_kept
    assert ramp.not_kept - ramp.kept <= 0.05 * ramp.not_kept


def test_one_bad_run_does_not_count_and_two_do() -> None:
    ramp = Ramp(100.0, 1000.0)
    ramp.take(outcome(100.0, without_final=1))
    assert (ramp.rate, ramp.not_kept) == (100.0, None)
    ramp.take(outcome(100.0))
    assert ramp.kept == 100.0
    assert ramp.rate > 100.0
    for _ in range(2):
        ramp.take(outcome(ramp.rate, turned_away=3))
    assert ramp.not_kept == pytest.approx(160.0)


def test_a_tool_that_falls_behind_says_nothing_of_the_placer() -> None:
    ramp = Ramp(100.0, 1000.0)
    for _ in range(2):
        assert not ramp.done
        ramp.take(outcome(100.0, sent_late=11, p99_ms=900.0))
    assert ramp.done
    assert ramp.not_kept is None
    assert ramp.summary()["tool_fell_behind_at"] == 100.0


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"without_final": 1}, "without their answer"),
        ({"turned_away": 1}, "turned away"),
        ({"p99_ms": 101.0}, "over the aim"),
        ({"sent_late": 11}, "fell behind"),
        ({}, ""),
    ],
)
def test_why_a_rate_is_not_kept(change: dict[str, Any], why: str) -> None:
    said = outcome(10.0, **change).why_not
    assert (why in said) if why else not said


# ---- A placer that stalls ---------------------------------------------------------------------------------


def played(stall_s: float, patience_ms: float = 5_000.0) -> Worker:
    """The tool's process against a real placer in virtual time, whose network stands for a while."""
    day = read_day("name: load\nseconds: 10\nmachines: 6\nplacers: 1\nstart_ms: 20\nlife_ms: 200\n", "test")
    loop = VirtualLoop()
    network = loop.network = Network(1)
    its = WorkerTask(
        0, 1, 1, "load-test", ("http://p0:8140",), (ClassLoad("web", 1.0, "safe", patience_ms),), 4, 0.1, 0.1,
        rate=50.0, seconds=10.0,
    )  # fmt: skip

    async def day_of_load() -> Worker:
        emulation = Emulation(day, 1, loop, network)
        hosts = await emulation.fleet.start()
        emulation.inventory = Inventory("test", {host.name: host for host in hosts})
        await emulation.start_placer(emulation.placers[0])
        with at("owners"):
            worker = Worker(its, lambda: EPOCH_S + loop.time())
            for way in (("owners", "p0"), ("p0", "owners")) if stall_s else ():
                loop.call_later(4.0, network.cut, *way)
                loop.call_later(4.0 + stall_s, network.heal, *way)
            await worker.run(worker.arrivals())
        service = emulation.placers[0].service
        assert service is not None
        await service.close()
        emulation.fleet.close()
        return worker

    found: Worker = run(day_of_load(), loop)
    return found


def test_a_stall_is_charged_to_all_that_were_due_in_it() -> None:
    calm, stalled = played(0.0), played(2.0)
    for worker in (calm, stalled):
        counts = worker.results.counts["web"]
        assert counts["sent"] == counts["due"] > 400
        assert (
            counts["Placed"] + counts["Refused"] + counts["Failed"] + counts["without_final"] == counts["due"]
        )
        assert counts["sent_late"] == 0
    assert calm.results.from_due["web"].get_value_at_percentile(99) < 300_000
    # A fifth of the run stood still: a tool that waits for answers would have one slow one in it.
    waited = stalled.results.from_due["web"]
    assert waited.get_value_at_percentile(93) > 900_000
    assert waited.get_value_at_percentile(30) < 300_000


def test_work_without_an_answer_is_counted_once_its_patience_is_over() -> None:
    worker = played(60.0)
    counts = worker.results.counts["web"]
    assert counts["without_final"] > 100
    assert counts["Placed"] + counts["Refused"] + counts["Failed"] + counts["without_final"] == counts["due"]


# ---- On sockets -------------------------------------------------------------------------------------------


def run_load(*args: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "kelpfront", "lab", "load", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=110)


def test_a_run_on_sockets_accounts_for_every_job(tmp_path: Path) -> None:
    trace = tmp_path / "trace.csv"
    rows = [
        f"{0.05 * n:.2f},{'web' if n % 2 else 'ingest'},s{n % 3},0.1,0.1,{'20s' if n % 5 else ''}"
        for n in range(40)
    ]
    trace.write_text(HEADER + "\n".join(rows) + "\n")
    done = run_load("--machines", "3", "--trace", str(trace), "--workers", "2", "--json")
    assert done.returncode == 0, done.stderr
    figures = json.loads(done.stdout)
    counts = figures["counts"]
    assert counts["due"] == counts["sent"] == 40
    ends = ("Placed", "Refused", "Failed", "turned_away", "rejected", "unreachable", "without_final")
    assert sum(counts.get(name, 0) for name in ends) == 40
    assert counts["Placed"] > 30
    assert figures["classes"]["web"]["counts"]["due"] == 20
    assert (
        figures["classes"]["web"]["from_due_ms"]["max"] >= figures["classes"]["web"]["from_due_ms"]["p50"] > 0
    )


@pytest.mark.parametrize(
    ("args", "named"),
    [
        (["--server", "http://127.0.0.1:1"], "--config"),
        (["--rate", "0"], "--rate"),
        (["--ramp", "5", "--rate", "10"], "--rate: 10 is not over 0 and at most 5"),
        (["--workers", "0"], "--workers"),
        (["--peak", "0.5"], "--peak"),
    ],
)
def test_options_that_cannot_be_are_named(args: list[str], named: str) -> None:
    result = CliRunner().invoke(main, ["lab", "load", *args])
    assert result.exit_code == 1
    assert named in result.output
