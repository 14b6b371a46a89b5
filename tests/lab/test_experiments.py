"""Experiments: plans, results that survive, comparisons, policies, and the report."""

from __future__ import annotations

import random
import re
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kelpfront.cli.experiments import DAYS, PLANS, day_text
from kelpfront.config.reader import parse_config
from kelpfront.lab.experiments.compare import compare, estimate
from kelpfront.lab.experiments.measures import MEASURES, Sample, measure, percentile, series
from kelpfront.lab.experiments.plan import PlanError, read_plan
from kelpfront.lab.experiments.results import FORMAT, Result, Results, ResultsError, opened
from kelpfront.lab.experiments.runner import code_digest, run_plan
from kelpfront.lab.policies import POLICIES, controller_for
from kelpfront.lab.report.page import ReportError, make
from kelpfront.lab.timeline.emulation import play
from kelpfront.lab.timeline.script import PLAIN_SETTINGS, read_day

DAY = "name: short\nseconds: 4\nsettle: 8\nmachines: 3\nplacers: 1\nrate: 8\nlife_ms: 800\n"
BUSY = DAY.replace("rate: 8", "rate: 30") + "faults:\n  - {kind: crash, at: 1, lasts: 1, share: 0.4}\n"
PLAN = """
name: tried
about: A test.
seeds: 2
scenarios: [short]
variants:
  - {name: rules}
  - {name: random, policy: random}
"""
CONFIG = parse_config(PLAIN_SETTINGS, "test")


def days(name: str) -> str:
    if name != "short":
        raise FileNotFoundError(2, "No such file or directory")
    return DAY


# ---- Plans ------------------------------------------------------------------------------------------------


def test_a_plan_has_each_seed_of_all_variants_before_the_next() -> None:
    plan = read_plan(PLAN, "plan", days)
    assert plan.baseline == "rules"
    assert [(run.seed, run.variant.name) for run in plan.runs()] == [
        (1, "rules"), (1, "random"), (2, "rules"), (2, "random"),
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ("seeds: 2", "seeds: 0"),
        ("seeds: 2", "seeds: [3, 3]"),
        ("[short]", "[short, short]"),
        ("[short]", "[missing]"),
        ("[short]", "[{name: own, rate: -1}]"),
        ("policy: random", "policy: guess"),
        ("policy: random", "set: [levels.enabled=perhaps]"),
        ("policy: random", "set: [nothing.there=1]"),
        ("name: random", "name: rules"),
        ("seeds: 2", "seeds: 2\nbaseline: other"),
        ("seeds: 2", "seeds: [unclosed"),
        ("about: A test.", "abuot: A test."),
        ("seeds: 2", "seeds: 100000"),
    ],
)
def test_a_plan_that_cannot_be_run_is_refused_with_its_place(change: str, named: str) -> None:
    with pytest.raises(PlanError) as caught:
        read_plan(PLAN.replace(change, named), "plan.yaml", days)
    assert str(caught.value).startswith("plan.yaml")


def test_what_a_run_depends_on_changes_its_digest() -> None:
    plan = read_plan(PLAN, "plan", days)
    digests = {run.digest("code") for run in plan.runs()}
    assert len(digests) == 4
    first = plan.runs()[0]
    assert first.digest("code") in digests
    assert first.digest("other code") not in digests
    other_day = read_plan(PLAN, "plan", lambda name: DAY + "services: 2\n")
    assert other_day.runs()[0].digest("code") not in digests


def test_the_code_digest_sees_every_file(tmp_path: Path) -> None:
    (tmp_path / "a").mkdir()
    (tmp_path / "a" / "b.py").write_text("x = 1\n")
    before = code_digest(tmp_path)
    assert code_digest(tmp_path) == before
    (tmp_path / "a" / "b.py").write_text("x = 2\n")
    changed = code_digest(tmp_path)
    (tmp_path / "a" / "b.py").rename(tmp_path / "a" / "c.py")
    assert len({before, changed, code_digest(tmp_path)}) == 3


def test_the_laboratorys_own_plans_and_days_can_be_run() -> None:
    for path in PLANS.glob("*.yaml"):
        assert len(read_plan(path.read_text(), path.name, day_text).runs()) > 10
    for path in DAYS.glob("*.yaml"):
        read_day(path.read_text(), path.name)


# ---- Results ----------------------------------------------------------------------------------------------


def result(
    seed: int, variant: str = "rules", scenario: str = "short", error: str = "", **its: float
) -> Result:
    measures = {} if error else dict.fromkeys(MEASURES, 1.0) | its
    return Result(f"{scenario}/{variant}/{seed}", scenario, variant, seed, error, 0.1, measures, {})


def test_results_are_there_after_the_file_was_closed(tmp_path: Path) -> None:
    path = tmp_path / "r.sqlite"
    with opened(path) as results:
        results.add(result(1, placed=0.5))
        results.add(result(2, error="broke"))
    with opened(path) as results:
        assert results.done() == {"short/rules/1"}
        assert [(one.seed, one.error) for one in results.all()] == [(1, ""), (2, "broke")]
        assert next(results.all()).measures["placed"] == 0.5
        results.add(result(2))
        assert len(results.done()) == 2


def test_a_file_that_holds_something_else_or_is_newer_is_refused(tmp_path: Path) -> None:
    other = tmp_path / "other.sqlite"
    other.write_bytes(b"this is not a database at all" * 100)
    with pytest.raises(ResultsError, match="holds no results"):
        Results(other)
    assert other.read_bytes().startswith(b"this is not")
    with sqlite3.connect(tmp_path / "theirs.db") as db:
        db.execute("CREATE TABLE theirs (x)")
    kept = (tmp_path / "theirs.db").read_bytes()
    with pytest.raises(ResultsError, match="of another program"):
        Results(tmp_path / "theirs.db")
    assert (tmp_path / "theirs.db").read_bytes() == kept
    newer = tmp_path / "newer.sqlite"
    with opened(newer) as results:
        results.set_meta("format", str(FORMAT + 1))
    with pytest.raises(ResultsError, match="this version reads up to"):
        Results(newer)


def test_a_plan_is_gone_on_with_where_it_was_left(tmp_path: Path) -> None:
    plan = read_plan(PLAN, "plan", days)
    path = tmp_path / "r.sqlite"
    with opened(path) as results:
        seen: list[tuple[int, int]] = []
        with pytest.raises(KeyboardInterrupt):

            def stop(one: Result, done: int, of: int) -> None:
                seen.append((done, of))
                if done == 3:
                    raise KeyboardInterrupt

            run_plan(plan, results, 1, stop)
        assert seen == [(1, 4), (2, 4), (3, 4)]
    with opened(path) as results:
        assert run_plan(plan, results, 1) == (1, 0)
        assert run_plan(plan, results, 1) == (0, 0)
        assert {(one.variant, one.seed) for one in results.all()} == {
            ("rules", 1), ("rules", 2), ("random", 1), ("random", 2),
        }  # fmt: skip


def test_a_process_that_is_killed_loses_only_the_run_it_was_at(tmp_path: Path) -> None:
    plan = tmp_path / "plan.yaml"
    plan.write_text(
        PLAN.replace("[short]", f"[{{{', '.join(DAY.strip().splitlines())}}}]").replace(
            "seeds: 2", "seeds: 4"
        )
    )
    path = tmp_path / "plan.sqlite"
    command = [sys.executable, "-m", "kelpfront", "lab", "experiment", str(plan), "--processes", "1"]
    command += ["--results", str(path)]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        until = time.monotonic() + 60.0
        count = 0
        while count < 2 and time.monotonic() < until:
            time.sleep(0.02)
            if path.exists():
                try:
                    with sqlite3.connect(f"file:{path}?mode=ro", uri=True) as db:
                        count = db.execute("SELECT count(*) FROM runs").fetchone()[0]
                except sqlite3.OperationalError:
                    count = 0
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    with opened(path) as results:
        kept = results.done()
    assert 2 <= len(kept) < 8
    done = subprocess.run(command, capture_output=True, text=True, timeout=100)
    assert done.returncode == 0, done.stderr
    assert f"8 runs, {8 - len(kept)} of them now, 0 broke off" in done.stdout


def test_a_run_that_breaks_off_is_told_and_run_again(tmp_path: Path) -> None:
    plan = read_plan(PLAN.replace("policy: random", "revision: no-such-revision"), "plan", days)
    with opened(tmp_path / "r.sqlite") as results, pytest.raises(RuntimeError, match="no-such-revision"):
        run_plan(plan, results, 1, repository=tmp_path)


# ---- Comparisons ------------------------------------------------------------------------------------------


@given(st.lists(st.floats(-100, 100), min_size=2, max_size=12))
def test_an_interval_holds_its_mean(values: list[float]) -> None:
    its = estimate(values)
    assert its.low - 1e-9 <= its.mean <= its.high + 1e-9
    assert estimate(values) == its


def test_pairs_show_what_means_hide() -> None:
    rng = random.Random(1)
    results = []
    for seed in range(1, 13):
        hard = rng.uniform(0.2, 0.9)  # days differ far more than variants do
        results.append(result(seed, placed=hard, refused=0.1))
        results.append(result(seed, "better", placed=hard + 0.01 + rng.uniform(-0.003, 0.003), refused=0.2))
        results.append(result(seed, "same", placed=hard + rng.uniform(-0.05, 0.05), refused=0.1))
    rows = {(row.variant, row.measure): row for row in compare(results, "rules")}
    assert rows["better", "placed"].verdict == "better"
    assert rows["better", "refused"].verdict == "worse"
    assert rows["same", "placed"].verdict == ""
    assert rows["rules", "placed"].against is None
    own = rows["better", "placed"].own
    assert own.low < rows["rules", "placed"].own.mean < own.high


def test_a_seed_that_only_one_variant_has_is_no_pair() -> None:
    rows = compare([result(1, placed=0.1), result(2, "other", placed=0.9)], "rules")
    assert next(row for row in rows if (row.variant, row.measure) == ("other", "placed")).against is None


@given(st.lists(st.floats(0, 1e6), min_size=1), st.floats(0.01, 1.0))
def test_a_percentile_is_one_of_the_values_and_enough_are_at_or_under_it(
    values: list[float], share: float
) -> None:
    found = percentile(values, share)
    assert found in values
    assert sum(value <= found for value in values) >= share * len(values) - 1e-6


# ---- Measures ---------------------------------------------------------------------------------------------

LINES: list[dict[str, Any]] = [
    {"t": 0.0, "ev": "taken", "tasks": ["a"], "cls": "web", "t0": 0.0},
    {"t": 0.0, "ev": "taken", "tasks": ["b"], "cls": "ingest", "t0": 0.0},
    {"t": 10.0, "ev": "taken", "tasks": ["c"], "cls": "web", "t0": 10.0},
    {"t": 20.0, "ev": "rejected", "code": "429"},
    {"t": 90.0, "ev": "offer", "task": "a"},
    {"t": 95.0, "ev": "offer", "task": "b"},
    {"t": 97.0, "ev": "offer", "task": "b"},
    {"t": 100.0, "ev": "start", "task": "a", "machine": "m"},
    {"t": 200.0, "ev": "answer-seen", "task": "a", "answer": "Placed"},
    {"t": 900.0, "ev": "start", "task": "b", "machine": "m"},
    {"t": 1_000.0, "ev": "answer-seen", "task": "b", "answer": "Placed"},
    {"t": 1_100.0, "ev": "end", "task": "a", "machine": "m", "cause": "ended"},
    {"t": 1_900.0, "ev": "down", "machine": "m", "why": "crash"},
    {"t": 5_000.0, "ev": "answer-seen", "task": "c", "answer": "Refused", "reason": "NO_MACHINE"},
]  # fmt: skip


def test_measures_of_a_day_counted_by_hand() -> None:
    found = measure(LINES, CONFIG, [Sample(0.0, {"m": 1.0, "n": 0.0}, {}, {})], 2)
    # web: served 1 s, in its aim, start worth 2 s, worth 1. ingest: 1 s until the crash; late: 0.2 of 4 s.
    assert found["worth"] == pytest.approx(1.0 * (1.0 + 2.0) + 3.0 * (1.0 + 0.2 * 4.0))
    assert found["placed"] == 0.5
    assert found["in_aim"] == 0.25
    assert found["refused"] == 0.5
    assert found["lost"] == 0.5
    assert found["answer_p50_ms"] == 1_000.0
    assert found["answer_p99_ms"] == 4_990.0
    assert found["offers_a_task"] == 1.0
    assert found["uneven"] == 1.0
    assert found["violations"] == 2.0
    assert set(found) == set(MEASURES)


def test_series_put_everything_into_its_second() -> None:
    sample = Sample(0.0, {"m": 0.5}, {"p0": "full"}, {"p0": 3})
    its = series(LINES, [sample], [(1_500.0, "drains")])
    assert its["seconds"] == 6
    assert its["counts"]["Placed"] == [1, 1, 0, 0, 0, 0]
    assert its["counts"]["Refused"] == [0, 0, 0, 0, 0, 1]
    assert its["reasons"] == {"HTTP 429": [1, 0, 0, 0, 0, 0], "NO_MACHINE": [0, 0, 0, 0, 0, 1]}
    assert its["wait_p99"][5] == 4_990.0
    assert its["violations"] == [[1.5, "drains"]]
    assert its["load"] == [[0.5]]
    assert its["open"] == [3]


# ---- Policies and the report ------------------------------------------------------------------------------


@pytest.mark.parametrize("policy", POLICIES)
def test_every_policy_keeps_the_rules_and_places(policy: str) -> None:
    played = play(read_day(BUSY, "test"), 3, controller_class=controller_for(policy))
    assert played.figures["violations"] == 0, played.figures["examples"]
    assert played.figures["answers"]["Placed"] > 60
    assert played.figures["measures"]["placed"] > 0.7


def test_policies_choose_differently() -> None:
    digests = {
        play(read_day(BUSY, "test"), 3, controller_class=controller_for(name)).figures["digest"]
        for name in POLICIES
    }
    assert len(digests) == len(POLICIES)


def test_overrides_reach_the_placers() -> None:
    day = read_day(BUSY, "test")
    few = play(day, 1, overrides=("limits.open_tasks=1",)).figures
    assert few["rejected"]["429"] > 0


def test_a_report_is_one_page_that_needs_nothing_else(tmp_path: Path) -> None:
    plan = read_plan(PLAN.replace("about: A test.", "about: <script>x</script>"), "plan", days)
    with opened(tmp_path / "r.sqlite") as results:
        with pytest.raises(ReportError, match="no run in it has ended"):
            make(results, tmp_path / "out")
        run_plan(plan, results, 1)
        written = make(results, tmp_path / "out")
        with pytest.raises(ReportError, match="--beside"):
            make(results, tmp_path / "out", beside="nobody")
    assert {path.name for path in written} == {"report.html", "summary.png", "short.png"}
    page = (tmp_path / "out" / "report.html").read_text()
    assert "<script" not in page
    assert not re.search(r"(?:src|href)=\"(?!data:)", page)
    assert page.count("data:image/png;base64,") == 2
    assert "random" in page
    for path in written:
        if path.suffix == ".png":
            assert path.read_bytes().startswith(b"\x89PNG")
