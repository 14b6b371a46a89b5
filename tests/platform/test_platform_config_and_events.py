"""Tests of the configuration file and of the coordinator's events, without sockets."""

from __future__ import annotations

from typing import Any

import platforms
import pytest
from core_stage import CoreFixture
from platforms import config

from kelpfront.lab.platform import event, member
from kelpfront.platform.config import ConfigError, parse_config
from kelpfront.platform.endpoint_events import InvalidEventError, parse_events
from kelpfront.platform.messages import machine_id
from kelpfront.scheduling.events import MachineState


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"coordinator": 5}, "coordinator"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"seed": "xyz"}, "seed"),
        ({"known": []}, "known"),
        ({"settings": {}}, "settings"),
        ({"settings": platforms.info(Zones=None)}, "Zones"),
    ],
)
def test_an_invalid_configuration_names_the_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=key):
        parse_config(platforms.raw_config() | changes)


def test_events_are_parsed_and_invalid_ones_are_rejected_completely() -> None:
    valid = config(member("m-1"))
    index, (first,) = parse_events(valid.known, valid)
    assert (index, first.complete, first.entries[0].name) == (1, True, "m-1")
    endpoint = first.entries[0].endpoint
    assert (endpoint.state, endpoint.free_cores, endpoint.free_memory) == (MachineState.READY, 20.0, 40.0)
    for invalid_fields in (
        {"phase": "Lost"},
        {"spare": [1]},
        {"host_port": "x"},
        {"cell": -1},
        {"up_since_ms": "now"},
    ):
        with pytest.raises(InvalidEventError):
            parse_events({"index": 2, "updates": [event(2, member("m-1", **invalid_fields))]}, valid)
    invalid_answers: list[Any] = [[], {"updates": 1}, {"updates": [1]}, {"updates": [{"index": "a"}]}]
    for answer in invalid_answers:
        with pytest.raises(InvalidEventError):
            parse_events(answer, valid)


def test_events_that_were_applied_are_not_applied_again() -> None:
    stage = CoreFixture()
    drain = event(2, member("m-1", phase="Terminating"))
    stage.events({"index": 2, "updates": [drain]})
    stage.events({"index": 2, "updates": [event(1, member("m-1"), whole=True)]})
    assert stage.core.endpoints.machines[machine_id("m-1")].state is MachineState.DRAINING
