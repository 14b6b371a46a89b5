"""Any customer's configuration is either taken whole or refused in one line that names the place."""

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
from platforms import Stage, ops
from waiting import until

from kelpfront.lab.platform import Json, Machine, event, member, offer
from kelpfront.platform.__main__ import serve
from kelpfront.platform.config import ConfigError, config_of
from kelpfront.platform.core import PlacerCore
from kelpfront.platform.endpoint_events import InvalidEventError, parse_events
from kelpfront.platform.messages import decode
from kelpfront.scheduling.scheduler import Scheduler

NOW = 1_790_000_000_000.0
JUNK: list[Any] = [
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
async def stage(tmp_path: Path) -> AsyncIterator[Stage]:
    made = Stage(tmp_path)
    yield made
    await made.stop()


def places(value: Any, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The path of each value in it."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [at, *(path for key, item in inner for path in places(item, (*at, key)))]


RAW = platforms.raw_config(member("m-1"), member("m-2"))
PLACES = [path for path in places(RAW) if path]


def changed(path: tuple[Any, ...], junk: Any) -> Json:
    """The configuration with another value at one place; `...` for none."""
    raw = copy.deepcopy(RAW)
    holder: Any = raw
    for key in path[:-1]:
        holder = holder[key]
    if junk is not ...:
        holder[path[-1]] = junk
    else:
        del holder[path[-1]]
    return raw


def start_with(raw: Json) -> str:
    """What a start says of it; where it says nothing, a task under it is answered."""
    try:
        its = config_of(raw)
        index, events = parse_events(its.known, its)
    except (ConfigError, InvalidEventError) as error:
        return str(error)
    core, now = PlacerCore(its, Scheduler(its.settings, its.seed)), NOW
    core.apply_endpoint_events(now, index, events)
    core.sessions.open(now, 1, "127.0.0.5")
    core.on_client_message(now, 1, decode(offer()))
    core.submit_arrivals(now)
    while (due := core.timers.next()) <= NOW + 60_000.0:
        now = max(now, due)
        core.timers.run(now)
    assert not core.requests.unanswered_count
    return ""


@pytest.mark.parametrize("path", PLACES, ids=lambda path: ".".join(map(str, path)))
def test_an_invalid_configuration_ends_the_start_with_one_line(path: tuple[Any, ...]) -> None:
    """Guards against a traceback, or a start with half of a configuration, on another customer's settings."""
    names = [str(key) for key in path if isinstance(key, str)] + ["m-1", "m-2"]
    for junk in (*JUNK, ...):
        said = start_with(changed(path, junk))
        assert "\n" not in said
        assert not said or any(name in said for name in names), (junk, said)


@pytest.mark.parametrize("section", sorted(RAW))
def test_a_section_that_is_missing_is_named_or_has_a_default(section: str) -> None:
    said = start_with(changed((section,), ...))
    assert not said or section in said or "Zones" in said


@pytest.mark.parametrize(
    ("text", "said"),
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
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, said: str
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
    assert said in err
    assert len(err) < 1_000


async def test_a_new_configuration_that_cannot_be_used_changes_nothing(stage: Stage) -> None:
    """In service the last good one stays in force, and the log says so; none is taken by half."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    path = stage.path / "config.json"
    raw = json.loads(path.read_text())
    index = placer.core.endpoints.index
    drained = event(index + 1, member("m-1", machine.address, "Terminating"))
    known = {"index": index + 1, "updates": [*raw["known"]["updates"], drained]}
    spoilt: list[Json] = [
        raw | {"coordinator": "127.0.0.1:2", "known": known, "settings": {}},
        raw | {"coordinator": "nowhere", "known": known},
        raw | {"coordinator": "127.0.0.1:2", "known": {"index": "2", "updates": known["updates"]}},
        raw
        | {
            "coordinator": "127.0.0.1:2",
            "known": {"index": 2, "updates": [*known["updates"], {"index": -1}]},
        },
    ]
    for number, one in enumerate(spoilt):
        path.write_text(json.dumps(one))
        os.kill(os.getpid(), signal.SIGHUP)
        client = await placer.client()
        client.say(offer(f"{number:016x}"))
        await ops(client, "accept")
    path.write_text(json.dumps(raw | {"known": known}))
    os.kill(os.getpid(), signal.SIGHUP)
    await until(lambda: placer.core.endpoints.index == index + 1)
