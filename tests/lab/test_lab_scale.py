"""The scale run: its arithmetic, and a tiny one with real processes, of which counts alone are looked at."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import psutil
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from waiting import until

from kelpfront.cli import main
from kelpfront.cli.scale import SWEEPS
from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.scale.fit import fit
from kelpfront.lab.fleet.scale.held import held_against_real
from kelpfront.lab.fleet.scale.hollow import Workers
from kelpfront.lab.fleet.scale.measure import of_placer
from kelpfront.lab.fleet.scale.owners import Owners
from kelpfront.lab.fleet.scale.regions import RegionList, Regions, whole
from kelpfront.lab.fleet.scale.run import breaks, play
from kelpfront.lab.fleet.scale.shape import BOUNDS, KINDS, Fault, Shape, ShapeError
from kelpfront.lab.fleet.scale.sweep import OTHERS, SIZES, keep, shapes_of, slopes_of
from kelpfront.lab.fleet.scale.table import slope_table
from kelpfront.lab.fleet.scale.traffic import Traffic, added, difference
from kelpfront.platform.messages import Cause, Message

TINY = Shape(machines=20, tasks=60, placers=3, starts=2, events=8, seconds=6, settle=2).command.split()[1:]


# ---- Shapes and the script of failures ------------------------------------------------------------------


@pytest.mark.parametrize(("name", "bounds"), BOUNDS.items())
def test_every_size_has_bounds_which_an_error_names(name: str, bounds: tuple[float, float]) -> None:
    for value in (bounds[0] - 1, bounds[1] + 1):
        with pytest.raises(ShapeError, match=f"{name}: .*is allowed, not {value:g}"):
            Shape.of(Shape().sizes() | {name: value})


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"placers": 2, "real": 3}, "real: at most the 2 placers"),
        ({"zones": 1}, "regions: at most the 1 zones"),
        ({"machines": 4, "drains": 3}, "drains: at most half"),
        ({"placers": 2, "tasks": 16_001}, "tasks: at most 16000 on 2 placers"),
        ({"faults": ["rack@2+14", "zone@10+14"]}, r"zone@10\+14 begins before rack@2\+14 is over"),
        ({"faults": ["flood@1+2"]}, "one of worker, rack, zone, link is wanted"),
        ({"faults": ["rack"]}, "KIND@SECONDS"),
        ({"faults": ["rack@1+0"]}, "must last"),
        ({"faults": ["rack@100+100"]}, "end within 180 s"),
    ],
)
def test_what_cannot_be_played_is_refused(changes: dict[str, Any], text: str) -> None:
    with pytest.raises(ShapeError, match=text):
        Shape.of(Shape().sizes() | changes)


def test_the_command_of_a_shape_plays_it_again(monkeypatch: pytest.MonkeyPatch) -> None:
    shape = Shape(machines=7, starts=1.5, restart=False, delay_ms=5.0, faults=(Fault("link", 1.0, 2.5),))
    played: list[Shape] = []

    async def play(what: Shape, say: object) -> dict[str, Any]:
        played.append(what)
        raise RuntimeError("seen")

    monkeypatch.setattr("kelpfront.lab.fleet.scale.run.play", play)
    CliRunner().invoke(main, shape.command.split()[1:])
    assert played == [shape]


def test_each_series_is_within_the_bounds_and_changes_one_size() -> None:
    assert {*SIZES, *OTHERS} == set(SWEEPS)
    for sweep, (name, base, sizes) in SIZES.items():
        shapes = shapes_of(sweep)
        assert [getattr(shape, name) for shape in shapes] == list(sizes)
        for shape in shapes:
            assert shape.sizes() | {name: 0} == base.sizes() | {name: 0}
    assert [shape.real for shape in shapes_of("held")] == [1, 4, 8]


@given(st.integers(20, 300), st.integers(0, 900), st.integers(1, 32), st.integers(1, 4), st.integers(4, 9))
def test_all_tasks_stand_somewhere_and_places_fit_together(
    machines: int, tasks: int, placers: int, regions: int, zones: int
) -> None:
    shape = Shape(machines=machines, tasks=tasks, placers=placers, real=1, regions=regions, zones=zones)
    assert sum(shape.tasks_of(placer) for placer in range(placers)) == tasks
    holders = [Workers(shape, number, 3) for number in range(3)]
    assert sum(len(one.held) for one in holders) == tasks
    for placer in range(placers):
        owners = Owners(shape, placer, "127.0.0.1", 1, Traffic())
        assert len(owners.standing) == shape.tasks_of(placer)
        for call, machine in owners.standing.items():
            assert holders[machine % 3].held[call].machine == machine
        assert shape.region_of_zone(shape.zone_of_placer(placer)) == shape.region_of_placer(placer)
    assert {shape.region_of(machine) for machine in range(machines)} == set(range(regions))
    for kind in KINDS:
        silent = shape.silenced(kind)
        assert len({shape.zone_of(machine) for machine in silent}) <= 1
        assert (len(silent) == 1) == (kind == "worker") or kind in ("rack", "zone", "link")
    shape = Shape(machines=machines, regions=1, drains=10, faults=(Fault("zone", 0.0, 9.0),))
    assert not set(shape.drained()) & set(shape.silenced("zone"))


# ---- Lines through points -------------------------------------------------------------------------------


@given(st.floats(-50, 50), st.floats(-3, 3).filter(lambda slope: abs(slope) > 0.01))
def test_a_line_is_found_again_and_is_straight(intercept: float, slope: float) -> None:
    found = fit([(size, intercept + slope * size) for size in (2, 8, 16, 32, 32)])
    assert found.intercept == pytest.approx(intercept, abs=1e-6)
    assert found.slope == pytest.approx(slope, abs=1e-6)
    assert found.straight and found.se == pytest.approx(0.0, abs=1e-6)
    assert found.residuals == pytest.approx([0.0] * 5, abs=1e-6)


def test_what_bends_is_told_and_what_is_level_is_not_blamed_for_noise() -> None:
    bent = fit([(size, min(size, 8)) for size in (2, 8, 16, 32)])
    assert not bent.straight and bent.residual_most > 0.1
    assert sum(bent.residuals) == pytest.approx(0.0)
    assert fit([(2, 52.0), (8, 52.3), (16, 51.9), (32, 52.1)]).straight
    assert fit([(2, 1.0), (8, 1.0)]).se is None
    with pytest.raises(ValueError, match="two sizes"):
        fit([(2, 1.0), (2, 2.0)])


def test_noise_at_each_size_widens_the_spread_and_bends_nothing() -> None:
    found = fit([(size, size + off) for size in (10, 20, 30, 40) for off in (-6.0, 6.0)])
    assert found.straight and found.slope == pytest.approx(1.0) and found.se == pytest.approx(0.219, abs=0.01)


# ---- Counting -------------------------------------------------------------------------------------------


def test_what_is_out_at_the_stand_ins_is_in_at_the_placer() -> None:
    traffic = Traffic()
    traffic.add(3, "in", "tested", 50)
    before = json.loads(json.dumps(traffic.json()))
    traffic.add(3, "in", "offer", 100)
    traffic.add(3, "out", "accept", 40)
    window = difference(json.loads(json.dumps(traffic.json())), before)
    figures = of_placer({"owners": {}, "workers": added([window, window]), "list": {}}, 3, 2.0)
    assert (figures["workers_out_s"], figures["workers_in_s"]) == (100.0, 40.0)
    assert (figures["bytes_s"], figures["messages_s"]) == (140.0, 2.0)
    assert figures["ops"]["workers out offer"] == {"messages_s": 1.0, "bytes_s": 100.0}
    assert figures["owners_in_s"] == figures["list_in_s"] == 0


def point(real: int, asks: float) -> dict[str, Any]:
    workers = dict.fromkeys(("messages_in_s", "messages_out_s", "bytes_in_s", "bytes_out_s"), 5.0)
    lists = [{"asks_s": asks / 2, "bytes_in_s": 3.0, "bytes_out_s": 4.0}] * 2
    return {"sizes": {"real": real}, "workers": workers | {"tests_s": 9.0, "connections": 8}, "list": lists}


def test_hollow_is_held_where_all_points_see_the_same_within_a_tenth() -> None:
    held = held_against_real([point(1, 21.5), point(8, 20.0), point(4, 20.0)])
    assert held["held"]
    asks = next(row for row in held["rows"] if row["figure"] == "asks_s")
    assert asks["differs"] == 0.075 and asks["by_real"] == {"1": 21.5, "8": 20.0, "4": 20.0}
    held = held_against_real([point(1, 22.5), point(8, 20.0)])
    assert not held["held"]
    assert [row["figure"] for row in held["rows"] if not row["held"]] == ["asks_s"]


def test_each_placer_sees_machines_at_its_own_addresses() -> None:
    shape = Shape(machines=4, drains=0)
    one = RegionList(shape, 0, [5070, 5071], [])
    for placer in (0, 9):
        body = json.loads(one.body(f"127.20.0.{placer}", 1, one.later(0)))
        found = [entry["host_port"] for entry in body["updates"][0]["endpoints"]["members"]]
        assert found == [f"127.{64 + placer}.0.{machine}:{5070 + machine % 2}" for machine in range(4)]


def test_a_list_tells_other_regions_machines_under_its_own_numbers() -> None:
    shape = Shape(machines=14, regions=2, zones=2, drains=0)
    first, second = (RegionList(shape, region, [5070], []) for region in (0, 1))
    first.change(shape.member(0, 5070, cores=1.0))
    second.change(shape.member(1, 5070, cores=2.0))
    second.relay({"updates": first.later(0)}, 0)
    second.relay({"updates": second.later(0)}, 0)  # what it would hear back: none of region 0 twice
    told = [entry["id"] for update in second.later(1) for entry in update["endpoints"]["members"]]
    assert told == ["s-00000001", "s-00000000", "s-00000000"]
    assert [update["index"] for update in second.updates] == [1, 2, 3, 4]


async def test_a_cut_link_holds_back_news_until_it_is_mended() -> None:
    """Guards against a relay that is deaf after its connection was silent, or hears what it has heard."""
    shape = Shape(machines=14, drains=0, delay_ms=1.0)
    regions = Regions(shape, [5070])
    await regions.start()
    first, second = regions.lists
    try:
        first.change(shape.member(0, 5070))
        await until(lambda: second.index == 2)
        await regions.act({"do": "link", "cut": True})
        first.change(shape.member(0, 5070, cores=3.0))
        second.change(shape.member(6, 5070))
        await asyncio.sleep(0.3)
        assert (first.index, second.index) == (3, 3)
        await regions.act({"do": "link", "cut": False})
        await until(lambda: (first.index, second.index) == (4, 4))
        told = [entry["spare"][0] for update in second.later(3) for entry in update["endpoints"]["members"]]
        assert told == [3.0]
    finally:
        await regions.stop()


def test_later_updates_are_those_after_a_number() -> None:
    service = ListService(updates=[{"index": index} for index in (1, 2, 5, 9)])
    assert [len(service.later(follow)) for follow in (0, 1, 3, 5, 9, 12)] == [4, 3, 2, 1, 0, 0]


def test_owners_count_one_answer_and_what_they_are_told_of_without_a_cause() -> None:
    owners = Owners(Shape(machines=4, tasks=4, placers=1, real=1, drains=0), 0, "127.0.0.1", 1, Traffic())
    first, second, third, fourth = owners.standing
    end = Message("end", first, why=Cause.NORMAL)
    owners.said(end)
    owners.said(Message("end", second, why=Cause.TEMPORARY_FAILURE))
    assert owners.counts["false_losses"] == 1 and owners.counts["released"] == 2
    owners.watch({owners.standing[third], owners.standing[fourth]}, time.monotonic())
    owners.said(Message("end", fourth, why=Cause.NORMAL))
    owners.said(Message("end", third, why=Cause.TEMPORARY_FAILURE))
    assert owners.counts["false_losses"] == 1
    assert owners.wait is not None and len(owners.wait.told) == 1 and not owners.wait.calls
    for _ in range(2):
        owners.said(Message("accept", "00000000000000aa", desc="s-00000001"))
    assert owners.counts["double"] == 2 and not owners.counts["accepted"]


# ---- Processes ------------------------------------------------------------------------------------------


async def test_with_watchers_placers_are_told_by_datagrams_that_are_counted() -> None:
    """Guards against a run that names watchers and measures placers that ask for themselves alone."""
    sizes = {"machines": 20, "tasks": 40, "placers": 2, "real": 1, "seconds": 4, "settle": 3, "drains": 1}
    figures = await play(Shape.of(Shape().sizes() | sizes | {"restart": False, "watchers": 1}))
    (placer,) = figures["real"]
    assert placer["datagram_in_s"] > 0 and placer["datagram_out_s"] > 0
    assert len(figures["watchers"]) == 2  # one a region
    assert figures["drains"]["untold"] == 0  # they ask for the list too, and are no placers


def test_a_tiny_run_counts_what_went_through(tmp_path: Path) -> None:
    """Two real placers, a hollow one, twenty workers, a list in each of two regions; a worker falls silent.

    Not looked at: what a stalled host may break, such as offers half a second after a drain.
    """
    done = subprocess.run(
        [sys.executable, "-m", "kelpfront", *TINY, "--json", "--fault", "worker@0+14"],
        capture_output=True,
        text=True,
        timeout=100,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )
    assert done.stdout, done.stderr
    figures = json.loads(done.stdout)
    assert figures["breaks"] == breaks(figures) and done.returncode == bool(figures["breaks"])
    assert figures["died"] == []
    answers, (fault,) = figures["answers"], figures["failures"]
    assert answers["set_ups"] >= answers["accepted"] + answers["refused"] + answers["failed"] > 0
    assert answers["double"] == 0 and answers["accepted"] > 0
    assert [one["placer"] for one in figures["real"]] == ["p0", "p1"]
    for one in figures["real"]:
        for op in ("workers out test", "workers in tested", "workers in accept", "list in answer"):
            assert one["ops"][op]["messages_s"] > 0
        assert one["rss_mb"] > 0 and one["descriptors"] > 20
    assert figures["drains"]["told"] == 3 and figures["drains"]["untold"] == 0
    assert fault["tasks"] >= 2 and fault["known_s"]["most"] is not None
    assert figures["restart"]["tasks"] > 0
    assert not list(tmp_path.iterdir())


def test_nothing_is_left_behind_when_the_run_is_killed(tmp_path: Path) -> None:
    """Guards against workers, lists and placers that live on without the run that they are for."""
    command, env = [sys.executable, "-m", "kelpfront", *TINY], os.environ | {"TMPDIR": str(tmp_path)}
    with subprocess.Popen(command, stderr=subprocess.DEVNULL, env=env) as run:
        try:
            deadline = time.monotonic() + 60.0
            while len(started := psutil.Process(run.pid).children()) < 5:  # two, one, one of each of the rest
                assert time.monotonic() < deadline and run.poll() is None
                time.sleep(0.02)
        finally:
            run.kill()
    _, left = psutil.wait_procs(started, timeout=30.0)
    left = [one for one in left if one.is_running() and one.status() != psutil.STATUS_ZOMBIE]
    for one in left:  # those that a failure of this test has shown
        one.kill()
    assert not left


def test_a_broken_off_series_keeps_what_was_played(tmp_path: Path) -> None:
    points: list[dict[str, Any]] = []
    for machines in (100, 300):
        real = {"cpu_share": machines / 1e5, "rss_mb": 50.0}
        real |= dict.fromkeys(("private_mb", "descriptors", "messages_s", "bytes_s"), 1.0)
        real |= {f"{peer}_{way}_s": 1.0 for peer in ("owners", "workers", "list") for way in ("in", "out")}
        names = ("restart_s", "restart_cpu_s", "restart_full_s", "restart_full_cpu_s")
        points.append(
            point(2, 20.0)
            | {"sweep": "machines", "commit": "abc", "real": [real, real], "link": {"bytes_s": 7.0}}
            | {"restart": dict.fromkeys(names, 1.0), "breaks": [], "sizes": Shape(machines=machines).sizes()}
        )
        points[-1]["workers"] |= {"tests_a_worker_s": 1.0, "connections_a_worker": 2.0}
        keep(tmp_path, points)
        assert json.loads((tmp_path / "runs.json").read_text())["points"] == json.loads(json.dumps(points))
    slopes = slopes_of(points)
    slope = next(one for one in slopes if one["figure"] == "cpu_share")
    assert slope["slope"] == pytest.approx(1e-5) and slope["size"] == "machines" and len(slope["points"]) == 4
    by_machines = next(
        one for one in slopes if one["size"] == "machines_a_placer" and one["figure"] == "rss_mb"
    )
    assert [size for size, _ in by_machines["points"]] == [100.0, 100.0, 125.0, 125.0]  # of 500 tasks on 4
    broken = points[1] | {"breaks": ["p0 died"], "real": [points[1]["real"][0] | {"cpu_share": 9.0}]}
    assert slopes_of([*points, broken])[0] == slopes[0] | {"left_out": 1}
    assert "machines        placer cpu_share" in slope_table(slopes) and "bent" not in slope_table(slopes)
    assert "bent" in slope_table([slope | {"straight": False}])
    assert (tmp_path / "slopes.png").read_bytes().startswith(b"\x89PNG")
    assert whole(Shape(), [1])["endpoints"]["complete"]
