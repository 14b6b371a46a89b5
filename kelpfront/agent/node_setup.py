"""Creates an agent's node from the agent's settings, its host, and the sequence numbers already used."""

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
"""Low bits of a sequence number that one agent process may use: about a million messages per process.

The next agent process uses higher numbers.
"""

SEQUENCE_METADATA = "seq"


@dataclass(frozen=True, slots=True)
class HostFacts:
    """The id of the host's current boot and the milliseconds since the boot. Tests pass other values."""

    boot_id: str
    uptime_ms: float

    @classmethod
    def read(cls) -> HostFacts:
        """Read the values of this host."""
        return cls(read_boot_id(), read_uptime_s() * 1000.0)


@dataclass(frozen=True, slots=True)
class SequenceBlock:
    """The sequence numbers of one agent process: all whose bits above `SEQUENCE_BITS` equal `number`."""

    number: int

    @property
    def first_seq(self) -> int:
        """The first sequence number of the block."""
        return self.number << SEQUENCE_BITS

    @classmethod
    def after(cls, metadata: Mapping[str, str]) -> SequenceBlock:
        """Return a block above the blocks of all earlier agent processes.

        The time of day in seconds is the lower bound, which keeps blocks increasing even if the record of the
        last block is lost.
        """
        text = metadata.get(SEQUENCE_METADATA, "")
        is_number = text.isascii() and text.isdigit()  # a damaged state may contain any text
        last = int(text) if is_number else 0
        return cls(max(last + 1, int(time.time())))


def make_node(
    config: AgentConfig,
    host: HostFacts,
    block: SequenceBlock,
    idempotency_records: IdempotencyRecords,
    now: float,
) -> Node:
    """Create the node of an agent that starts at `now`, in milliseconds of the cluster's clock."""
    boot_id = host.boot_id
    age_ms = host.uptime_ms
    if config.host.warm_from == "agent":  # placers treat each start of the agent as a new boot
        boot_id = f"{boot_id}/{block.number}"
        age_ms = 0.0
    incarnation = Incarnation(boot_id, now - age_ms, block.first_seq)
    evaluation_ms = config.starts.weigh
    return Node(_node_settings(config), incarnation, lambda: evaluation_ms, idempotency_records)


def shared_idempotency_records(config: AgentConfig) -> FileIdempotencyRecords | None:
    """Return the records that this machine shares with others, or None if no folder is configured."""
    return None if config.agent.copies is None else FileIdempotencyRecords(Path(config.agent.copies))


def local_idempotency_records(config: AgentConfig) -> LocalIdempotencyRecords:
    """Return in-memory records for the scope of this machine only."""
    agent = config.agent
    return LocalIdempotencyRecords(f"{agent.room}/{agent.rack}/{agent.name}")


def _node_settings(config: AgentConfig) -> NodeSettings:
    agent = config.agent
    starts = config.starts
    return NodeSettings(
        name=agent.name,
        kind=agent.kind,
        rack=agent.rack,
        zone=agent.room,
        capacity=_capacity(config.host, UsageSampler.host_size()),
        max_pending_offers=starts.line,
        max_tasks=config.tasks.most,
        max_parallel_starts=starts.parallel,
        answer_mode=starts.answer,
        preempts=starts.pushes_out,
        drain_mode=config.drain.evicts,
        drain_interval_ms=config.drain.pace,
        max_cached_programs=0,
        heartbeat_ms=agent.heartbeat,
        slow_start=SlowStart(config.host.cold_from, config.host.cold_for),
        starts_per_ms=None if starts.rate is None else starts.rate / 1000.0,
    )


def _capacity(settings: HostSection, size: HostSize) -> Capacity:
    """Return the machine's capacity: the configured values, or the host's size where none is configured."""
    return Capacity(
        settings.cores if settings.cores is not None else float(size.cores),
        settings.memory if settings.memory is not None else size.memory_bytes / settings.memory_unit,
        settings.accepts_cores,
        settings.accepts_memory,
    )
