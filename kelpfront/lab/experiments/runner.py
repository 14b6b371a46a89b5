"""Runs an experiment on all cores, each run as a process's work; what is done is kept at once."""

from __future__ import annotations

import hashlib
import json
import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from kelpfront.lab.experiments.measures import MEASURES, measure, series
from kelpfront.lab.experiments.plan import Plan, RunKey
from kelpfront.lab.experiments.results import Result, Results

RUN_S = 3_600.0  # of a run of another revision, until it is given up


def code_digest(package: Path | None = None) -> str:
    """Of the program's own files: results of other code are not taken for this one's."""
    package = package or Path(__file__).parent.parent.parent
    hashed = hashlib.blake2b(digest_size=12)
    for path in sorted(package.rglob("*.py")):
        hashed.update(path.relative_to(package).as_posix().encode() + b"\0" + path.read_bytes() + b"\0")
    return hashed.hexdigest()


def play_run(key: RunKey, digest: str, tree: str = "") -> Result:
    """One run, in this process; of another revision, as a process on that revision's tree."""
    began = time.perf_counter()
    try:
        measures, its = _of_revision(key, Path(tree)) if tree else _here(key)
        error = ""
    except Exception as problem:
        measures, its, error = {}, {}, f"{type(problem).__name__}: {problem}"
    took = time.perf_counter() - began
    return Result(digest, key.scenario.name, key.variant.name, key.seed, error, took, measures, its)


def _here(key: RunKey) -> tuple[dict[str, float], dict[str, Any]]:
    from kelpfront.lab.policies import controller_for
    from kelpfront.lab.timeline.emulation import play
    from kelpfront.lab.timeline.script import read_day

    day = read_day(key.scenario.text, key.scenario.name)
    played = play(
        day, key.seed, controller_class=controller_for(key.variant.policy), overrides=key.variant.set
    )
    measures = measure(played.lines, played.config, played.samples, played.figures["violations"])
    return measures, series(played.lines, played.samples, played.violations)


def _of_revision(key: RunKey, tree: Path) -> tuple[dict[str, float], dict[str, Any]]:
    """What that revision's own `lab emulate` says; it has no series."""
    with tempfile.TemporaryDirectory(prefix="kelpfront-run-") as folder:
        day = Path(folder) / "day.yaml"
        day.write_text(key.scenario.text, encoding="utf-8")
        command = [sys.executable, "-m", "kelpfront", "lab", "emulate", str(day), "--seed", str(key.seed)]
        command += ["--json", *(part for its in key.variant.set for part in ("--set", its))]
        env = {**os.environ, "PYTHONPATH": str(tree)}
        done = subprocess.run(command, cwd=tree, env=env, capture_output=True, text=True, timeout=RUN_S)
    try:
        figures = json.loads(done.stdout.strip().splitlines()[-1])
    except (ValueError, IndexError):
        raise RuntimeError(f"lab emulate of that revision: {done.stderr.strip()[-500:]}") from None
    if "measures" in figures:
        return {name: float(figures["measures"][name]) for name in MEASURES}, {}
    asked = figures["jobs"] or 1
    answers = figures["answers"]
    known = {
        "placed": answers.get("Placed", 0) / asked,
        "refused": (answers.get("Refused", 0) + sum(figures["rejected"].values())) / asked,
        "failed": answers.get("Failed", 0) / asked,
        "offers_a_task": figures["offers"] / asked,
        "violations": float(figures["violations"]),
    }
    return {name: known.get(name, float("nan")) for name in MEASURES}, {}


def trees(plan: Plan, repository: Path, stack: ExitStack) -> dict[str, str]:
    """A work tree for each revision of the plan, removed with the stack; RuntimeError where there is none."""
    found: dict[str, str] = {}
    for revision in dict.fromkeys(variant.revision for variant in plan.variants if variant.revision):
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="kelpfront-revision-"))
        tree = str(Path(folder) / "tree")
        git = ["git", "-C", str(repository)]
        made = subprocess.run(
            [*git, "worktree", "add", "--detach", tree, revision], capture_output=True, text=True
        )
        if made.returncode:
            raise RuntimeError(f"revision {revision!r}: {made.stderr.strip()}")
        stack.callback(
            subprocess.run, [*git, "worktree", "remove", "--force", tree], capture_output=True, check=False
        )
        found[revision] = tree
    return found


def run_plan(
    plan: Plan,
    results: Results,
    processes: int,
    on_result: Callable[[Result, int, int], None] = lambda result, done, all_: None,
    repository: Path | None = None,
) -> tuple[int, int]:
    """Runs what is not there yet; how many were run now, and how many of them broke off.

    `on_result` is told each result, how many of the plan are there and how many it has.
    """
    runs = plan.runs()
    with ExitStack() as stack:
        of_revision = trees(plan, repository or Path(__file__).parent.parent.parent.parent, stack)
        own = code_digest()
        codes = {name: code_digest(Path(tree) / "kelpfront") for name, tree in of_revision.items()} | {
            "": own
        }
        keys = [(key, key.digest(codes[key.variant.revision])) for key in runs]
        results.set_meta("runs", json.dumps([digest for _, digest in keys]))
        results.set_meta(
            "plan", json.dumps({"name": plan.name, "about": plan.about, "baseline": plan.baseline})
        )
        results.set_meta("variants", json.dumps([variant.model_dump() for variant in plan.variants]))
        there = results.done()
        left = [(key, digest) for key, digest in keys if digest not in there]
        done, broke = len(keys) - len(left), 0
        for result in _played(left, of_revision, processes):
            results.add(result)
            done += 1
            broke += bool(result.error)
            on_result(result, done, len(keys))
    return len(left), broke


def _played(left: Sequence[tuple[RunKey, str]], of_revision: dict[str, str], processes: int) -> Any:
    if processes <= 1:
        for key, digest in left:
            yield play_run(key, digest, of_revision.get(key.variant.revision, ""))
        return
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(processes, mp_context=context) as pool:
        futures = [
            pool.submit(play_run, key, digest, of_revision.get(key.variant.revision, ""))
            for key, digest in left
        ]
        try:
            for future in as_completed(futures):
                yield future.result()
        finally:
            pool.shutdown(wait=False, cancel_futures=True)
