"""Makes an agent's node from its settings, its host, and the numbers that earlier agents used."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from kelpfront.agent.idempotency_records import FileIdempotencyRecords, LocalIdempotencyRecords
from kelpfront.agent.process import read_boot_id, read_uptime_s
from kelpfront.agent.usage_sampler import HostSize, UsageSampler
from kelpfront.config.agent import AgentConfig, HostSection
from kelpfront.machine.admission import Capacity
from kelpfront.machine.idempotency_records import IdempotencyRecords
from kelpfront.machine.model import Incarnation, NodeSettings
from kelpfront.machine.node import Node
from kelpfront.machine.slow_start import SlowStart

SEQUENCE_BITS = 20
"""Bits of the message numbers of one agent process: a million; those of the next process are above."""

SEQUENCE_METADATA = "seq"


@dataclass(frozen=True, slots=True)
class HostFacts:
    """The host's current boot, and the milliseconds since then. Tests give their own."""

    boot_id: str
    uptime_ms: float

    @classmethod
    def read(cls) -> HostFacts:
        """Read them from this host."""
        return cls(read_boot_id(), read_uptime_s() * 1000.0)


@dataclass(frozen=True, slots=True)
class SequenceBlock:
    """The message numbers of one agent process: all that have `number` in their upper bits."""

    number: int

    @property
    def first_seq(self) -> int:
        """The first message number."""
        return self.number << SEQUENCE_BITS

    @classmethod
    def after(cls, metadata: Mapping[str, str]) -> SequenceBlock:
        """Return a block above all earlier ones.

        Where the record of those is lost it is so by the time of day.
        """
        text = metadata.get(SEQUENCE_METADATA, "")
        is_number = text.isascii() and text.isdigit()  # a damaged state may have anything
        last = int(text) if is_number else 0
        return cls(max(last + 1, int(time.time())))


def make_node(
    config: AgentConfig,
    host: HostFacts,
    block: SequenceBlock,
    idempotency_records: IdempotencyRecords,
    now: float,
) -> Node:
    """Make the node of an agent that starts at `now`, in milliseconds of the cluster's clock."""
    boot_id = host.boot_id
    age_ms = host.uptime_ms
    if config.host.warm_from == "agent":  # placers take each start of the agent for a new boot
        boot_id = f"{boot_id}/{block.number}"
        age_ms = 0.0
    incarnation = Incarnation(boot_id, now - age_ms, block.first_seq)
    evaluation_ms = config.starts.weigh
    return Node(_node_settings(config), incarnation, lambda: evaluation_ms, idempotency_records)


def shared_idempotency_records(config: AgentConfig) -> FileIdempotencyRecords | None:
    """Return the records that this machine shares with others; None where it shares none."""
    return None if config.agent.copies is None else FileIdempotencyRecords(Path(config.agent.copies))


def own_idempotency_records(config: AgentConfig) -> LocalIdempotencyRecords:
    """Return records for the scope of this machine alone."""
    its = config.agent
    return LocalIdempotencyRecords(f"{its.room}/{its.rack}/{its.name}")


def _node_settings(config: AgentConfig) -> NodeSettings:
    its = config.agent
    starts = config.starts
    return NodeSettings(
        name=its.name,
        kind=its.kind,
        rack=its.rack,
        zone=its.room,
        capacity=_capacity(config.host, UsageSampler.host_size()),
        max_pending_offers=starts.line,
        max_tasks=config.tasks.most,
        max_parallel_starts=starts.parallel,
        answer_mode=starts.answer,
        preempts=starts.pushes_out,
        drain_mode=config.drain.evicts,
        drain_interval_ms=config.drain.pace,
        max_cached_programs=0,
        heartbeat_ms=its.heartbeat,
        slow_start=SlowStart(config.host.cold_from, config.host.cold_for),
        starts_per_ms=None if starts.rate is None else starts.rate / 1000.0,
    )


def _capacity(settings: HostSection, size: HostSize) -> Capacity:
    """Return what the settings say, or what the host has."""
    return Capacity(
        settings.cores if settings.cores is not None else float(size.cores),
        settings.memory if settings.memory is not None else size.memory_bytes / settings.memory_unit,
        settings.accepts_cores,
        settings.accepts_memory,
    )
