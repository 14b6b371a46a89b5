"""The experiments on fronts and clients, short; and that they find what is wrong on purpose."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JobSpec
from kelpfront.api.meta import Object
from kelpfront.client.retry import RetryPolicy, worst_window_share
from kelpfront.client.retrying import RetryingClient
from kelpfront.controller.admission import MIN_REMAINING_TICKS
from kelpfront.controller.job_controller import JobController
from kelpfront.fronts.grpc import job_progress
from kelpfront.fronts.grpc.binding_session import BindingSession
from kelpfront.lab.fronts import Fronts, FrontsShape, draw_mix
from kelpfront.lab.process import raise_file_limit
from kelpfront.lab.protocols import Protocols
from kelpfront.lab.reconnect import HerdShape, Reconnect
from kelpfront.units import parse_duration

WORST_WAY_MS = 1_100.0  # from client to placer, measured with 64 calls in flight (docs/measurements.md)
TICK_MS = 40.0
SHAPE = FrontsShape(seed=5, tasks=60, machines=6, both=40)


def quiet(text: str) -> None:
    pass


async def test_the_same_work_ends_alike_by_each_way_and_starts_once() -> None:
    figures = await Fronts(SHAPE, quiet).run()
    assert figures["ends"]["rest"] == figures["ends"]["grpc"] == figures["ends"]["bindings"]
    assert {"Placed Ended", "Refused Refused"} <= set(figures["ends"]["rest"])
    assert figures["both_at_once"]["cuts"] > 10
    wrong = {name: figures[name] for name in ("differences", "double_starts", "violations")}
    assert not any(wrong.values()), figures


async def test_what_a_level_turns_away_is_told_alike_by_each_way() -> None:
    """Guards against ends that hang on the front under reduced service: no load is needed, it is pinned."""
    figures = await Fronts(FrontsShape(seed=5, tasks=14, machines=6, both=2, level="holding"), quiet).run()
    assert figures["ends"]["rest"] == figures["ends"]["grpc"] == figures["ends"]["bindings"]
    assert figures["ends"]["rest"]["rejected TooManyRequests"] and figures["ends"]["rest"]["Placed Ended"]
    assert not figures["differences"] and not figures["violations"], figures["examples"]


async def test_a_front_that_words_a_level_otherwise_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    right: Any = BindingSession.record_rejection

    def wrong(self: Any, ref: str, error: ApiError) -> Any:
        return right(self, ref, ApiError(503, error.message) if error.code == 429 else error)

    monkeypatch.setattr(BindingSession, "record_rejection", wrong)
    figures = await Fronts(FrontsShape(seed=5, tasks=14, machines=6, both=2, level="holding"), quiet).run()
    assert figures["differences"] > 0


def test_what_fits_nowhere_outlasts_the_way_to_a_busy_placer() -> None:
    """Guards against differences by load: `too late` came where 300 of 500 ms were spent on the way."""
    vain = [s for s in draw_mix(FrontsShape(seed=1, tasks=2000)) if s.class_ == "rare" or s.cores > 1000]
    left = min(parse_duration(spec.patience or "0s") for spec in vain)
    assert len(vain) > 50 and left >= 3 * WORST_WAY_MS + MIN_REMAINING_TICKS * TICK_MS


def test_the_mix_has_all_that_it_is_to_compare() -> None:
    jobs = draw_mix(FrontsShape(seed=1, tasks=2000))
    assert sum(spec.count for spec in jobs) >= 2000
    assert {spec.class_ for spec in jobs} == {"web", "ingest", "blend", "rare", "unknown"}
    assert any(spec.cores > 1000 for spec in jobs) and draw_mix(FrontsShape(seed=1, tasks=2000)) == jobs


async def test_a_placer_that_forgets_tokens_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The identity of a job over both protocols is its token: without it work starts twice."""

    def forgets(self: JobController, namespace: str, token: str) -> None:
        return None

    monkeypatch.setattr(JobController, "find_by_client_token", forgets)
    figures = await Fronts(FrontsShape(seed=5, tasks=4, machines=6, both=30), quiet).run()
    both = figures["both_at_once"]
    assert both["double_starts"] + both["differences"] + both["violations"] > 0


async def test_a_stream_that_tells_refusals_as_failures_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    right = job_progress.answer_event

    def wrong(ref: str, index: int, task: Object, answer: str) -> Any:
        return right(ref, index, task, "Failed" if answer == "Refused" else answer)

    monkeypatch.setattr(job_progress, "answer_event", wrong)
    figures = await Fronts(FrontsShape(seed=5, tasks=60, machines=6, both=2), quiet).run()
    assert figures["differences"] > 0


async def test_a_front_that_drops_a_field_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    from kelpfront.fronts.grpc import job_submission

    right: Any = vars(job_submission)["job_data"]

    def wrong(*args: Any) -> Object:
        data: Object = right(*args)
        data["spec"].pop("count", None)
        return data

    monkeypatch.setattr(job_submission, "job_data", wrong)
    figures = await Fronts(FrontsShape(seed=5, tasks=40, machines=6, both=2), quiet).run()
    assert figures["differences"] > 0


async def test_a_client_that_sends_again_without_its_token_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    right = RetryingClient.submit

    async def wrong(self: RetryingClient, namespace: str, spec: JobSpec, **more: Any) -> Any:
        return await right(self, namespace, spec.model_copy(update={"client_token": None}), **more)

    monkeypatch.setattr(RetryingClient, "submit", wrong)
    figures = await Fronts(FrontsShape(seed=5, tasks=4, machines=6, both=20), quiet).run()
    assert figures["double_starts"] > 0


async def test_clients_of_a_placer_that_restarts_come_back_spread_out(tmp_path: Path) -> None:
    raise_file_limit()
    figures = await Reconnect(HerdShape(seed=3, clients=120, spread_s=3.0, down_s=0.3), tmp_path, quiet).run()
    assert figures["reconnected"] == figures["within_interval"], figures
    # On a host that stands still for longer than a placer waits for its machines, jobs are not known again.
    # One may come back first and hear of it then, and counts as both; none is missing.
    back, lost = figures["reconnected"], figures["jobs_lost"]
    assert 100 < back <= 120 <= back + lost and lost < 20, figures
    assert figures["retries_after_deadline"] == 0, figures
    assert figures["amplification"] < 3.0


def test_a_herd_that_comes_back_at_once_is_seen_as_one(monkeypatch: pytest.MonkeyPatch) -> None:
    import random

    monkeypatch.setattr(RetryPolicy, "reconnect_backoff_ms", lambda self, failures: 50.0)
    times = [RetryPolicy(1, random.Random(n)).reconnect_backoff_ms(0) for n in range(1000)]
    assert worst_window_share(times, 5000.0, 100.0) > 3.0


async def test_the_measurement_of_protocols_runs(tmp_path: Path) -> None:
    """That it measures, not what: figures are no verdicts."""
    figures = await asyncio.wait_for(Protocols(4, 0.3, 1, 4, tmp_path, quiet).run(), 100)
    for way in ("rest", "grpc", "bindings"):
        assert figures["fronts"][way]["jobs_per_s"] > 0 and figures["fronts"][way]["bytes_up"] > 0
    assert set(figures["offers"]) == {"http", "grpc"}
