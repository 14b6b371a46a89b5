"""Tests that a configuration is either accepted completely or rejected in one line that names the key."""

from __future__ import annotations

import copy
import json
import math
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import platforms
import pytest
from platforms import PlacerFixture, expect_ops
from waiting import until

from kelpfront.lab.platform import Json, Machine, event, member, offer
from kelpfront.platform.__main__ import serve
from kelpfront.platform.config import ConfigError, parse_config
from kelpfront.platform.core import PlacerCore
from kelpfront.platform.endpoint_events import InvalidEventError, parse_events
from kelpfront.platform.messages import decode
from kelpfront.scheduling.scheduler import Scheduler

NOW = 1_790_000_000_000.0
INVALID_VALUES: list[Any] = [
    None,
    True,
    -1,
    0,
    1,
    7.5,
    1e308,
    -1e308,
    math.nan,
    math.inf,
    "",
    "x",
    [],
    {},
    [[]],
    [-1],
    {"a": 1},
]


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    new_stage = PlacerFixture(tmp_path)
    yield new_stage
    await new_stage.stop()


def key_paths(value: Any, prefix: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of each nested value."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [prefix, *(path for key, item in inner for path in key_paths(item, (*prefix, key)))]


RAW = platforms.raw_config(member("m-1"), member("m-2"))
KEY_PATHS = [path for path in key_paths(RAW) if path]


def with_value(path: tuple[Any, ...], value: Any) -> Json:
    """Return the configuration with another value at `path`; `...` deletes the key."""
    raw = copy.deepcopy(RAW)
    parent: Any = raw
    for key in path[:-1]:
        parent = parent[key]
    if value is not ...:
        parent[path[-1]] = value
    else:
        del parent[path[-1]]
    return raw


def startup_error(raw: Json) -> str:
    """Return the error of a start with `raw`; without an error, assert that a request is answered."""
    try:
        parsed = parse_config(raw)
        index, events = parse_events(parsed.known, parsed)
    except (ConfigError, InvalidEventError) as error:
        return str(error)
    core, now = PlacerCore(parsed, Scheduler(parsed.settings, parsed.seed)), NOW
    core.apply_endpoint_events(now, index, events)
    core.sessions.open(now, 1, "127.0.0.5")
    core.on_client_message(now, 1, decode(offer()))
    core.submit_arrivals(now)
    while (due := core.timers.next()) <= NOW + 60_000.0:
        now = max(now, due)
        core.timers.run(now)
    assert not core.requests.unanswered_count
    return ""


@pytest.mark.parametrize("path", KEY_PATHS, ids=lambda path: ".".join(map(str, path)))
def test_an_invalid_configuration_ends_the_start_with_one_line(path: tuple[Any, ...]) -> None:
    """Guards against a traceback, or a start with a partly applied configuration, on unusual settings."""
    names = [str(key) for key in path if isinstance(key, str)] + ["m-1", "m-2"]
    for value in (*INVALID_VALUES, ...):
        error = startup_error(with_value(path, value))
        assert "\n" not in error
        assert not error or any(name in error for name in names), (value, error)


@pytest.mark.parametrize("section", sorted(RAW))
def test_a_section_that_is_missing_is_named_or_has_a_default(section: str) -> None:
    error = startup_error(with_value((section,), ...))
    assert not error or section in error or "Zones" in error


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "not JSON"),
        ("[" * 200_000, "not JSON"),
        ('"x"', "expected a JSON object"),
        ("{}", "settings"),
        ('{"settings": []}', "settings"),
        ("\xff\xfe", "not JSON"),
    ],
)
def test_a_file_that_is_no_configuration_gives_one_line_and_exit_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, message: str
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(text.encode("latin-1"))
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert serve(path) == 2
    finally:
        signal.signal(signal.SIGHUP, before)
    err = capsys.readouterr().err
    assert err.count("\n") == 1
    assert str(path) in err
    assert message in err
    assert len(err) < 1_000


async def test_a_new_configuration_that_cannot_be_used_changes_nothing(stage: PlacerFixture) -> None:
    """A running placer keeps its last valid configuration; an invalid one is not applied in part."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    path = stage.path / "config.json"
    raw = json.loads(path.read_text())
    index = placer.core.endpoints.index
    drain = event(index + 1, member("m-1", machine.address, "Terminating"))
    known = {"index": index + 1, "updates": [*raw["known"]["updates"], drain]}
    invalid_configs: list[Json] = [
        raw | {"coordinator": "127.0.0.1:2", "known": known, "settings": {}},
        raw | {"coordinator": "nowhere", "known": known},
        raw | {"coordinator": "127.0.0.1:2", "known": {"index": "2", "updates": known["updates"]}},
        raw
        | {
            "coordinator": "127.0.0.1:2",
            "known": {"index": 2, "updates": [*known["updates"], {"index": -1}]},
        },
    ]
    for number, invalid in enumerate(invalid_configs):
        path.write_text(json.dumps(invalid))
        os.kill(os.getpid(), signal.SIGHUP)
        client = await placer.client()
        client.say(offer(f"{number:016x}"))
        await expect_ops(client, "accept")
    path.write_text(json.dumps(raw | {"known": known}))
    os.kill(os.getpid(), signal.SIGHUP)
    await until(lambda: placer.core.endpoints.index == index + 1)
