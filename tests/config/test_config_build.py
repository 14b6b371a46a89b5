"""The settings of a file are translated into the settings of the scheduler."""

from __future__ import annotations

from kelpfront.config import build_cluster, placer_example
from kelpfront.config.reader import parse_config
from kelpfront.scheduling.settings import FailureDomain, Idempotency, SchedulerSettings


def example_settings(*overrides: str) -> SchedulerSettings:
    return build_cluster(parse_config(placer_example() + "\n", "k.ini", overrides)).settings


def test_placer_and_cluster_settings_are_passed_to_the_scheduler() -> None:
    settings = example_settings("cluster.placers=24", "placer.number=7")

    assert settings.replica_index == 7
    assert settings.replica_count == 24
    assert settings.timer_resolution_ms == 40.0


def test_effect_of_a_class_is_translated_to_its_idempotency() -> None:
    web, ingest, blend = example_settings().classes

    assert web.idempotency is Idempotency.IDEMPOTENT
    assert ingest.idempotency is Idempotency.IDEMPOTENCY_KEY
    assert blend.idempotency is Idempotency.NON_IDEMPOTENT


def test_failure_domains_and_times_of_a_class_are_passed_to_the_scheduler() -> None:
    web, ingest, _ = example_settings().classes

    assert ingest.idempotency_scope == FailureDomain.ZONE
    assert ingest.idempotency_window_ms == 8000.0
    assert ingest.spread_domain == FailureDomain.CELL
    assert ingest.max_per_domain == 3
    assert ingest.start_utility_s == 8.0
    assert web.latency_objective_ms == 1000.0
