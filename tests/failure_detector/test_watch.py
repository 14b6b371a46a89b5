"""Watchers as processes, beside placers as processes: what is kept, what is released, what is loaded."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from platforms import raw_config
from waiting import until

from kelpfront.failure_detector.config import watch_config_of
from kelpfront.lab.fleet.settings import ZONES
from kelpfront.lab.fleet.watched import Deployment
from kelpfront.platform.config import ConfigError, config_of

LONG_S = 9.0  # what is silent for so long has been given up
KNOWN_S = 60.0  # for what takes 8 s where the host has time


def lost(its: Deployment) -> set[tuple[str, str]]:
    return {(placer, worker) for placer, workers in its.released.items() for worker in workers}


async def knows(its: Deployment, *workers: str) -> None:
    """Each placer releases what stood on these, and nothing else ever."""
    wanted = {(placer, worker) for placer in its.placers for worker in workers}
    await until(lambda: wanted <= lost(its), KNOWN_S)
    assert lost(its) == wanted


async def has_news(its: Deployment, *watchers: int) -> None:
    """Each placer has heard each of the watchers, by its log."""
    texts = [f"watcher {number} is heard" for number in watchers]
    await until(lambda: all(its.told(name, text) for name in its.placers for text in texts), KNOWN_S)


# ---- Settings, and what is loaded -----------------------------------------------------------------------


@pytest.mark.parametrize(
    ("watchers", "says"),
    [
        ("127.0.0.1:7", "a list of at most 16 is wanted"),
        ([7], "HOST:PORT is wanted"),
        (["there:7"], "an IPv4 address and a port are wanted"),
        (["127.0.0.1:0"], "a port above 0 is wanted"),
        (["127.0.0.1:7", "127.0.0.1:7"], "each is wanted once"),
        ([f"127.0.0.1:{port}" for port in range(1, 18)], "a list of at most 16 is wanted"),
    ],
)
def test_bad_watchers_are_named(watchers: Any, says: str) -> None:
    with pytest.raises(ConfigError, match=f"^liveness: watchers: {says}"):
        config_of(raw_config(liveness={"watchers": watchers}))


@pytest.mark.parametrize(
    ("watch", "says"),
    [
        (None, "watch: a JSON object is wanted"),
        ({}, "watch: listen: HOST:PORT is wanted"),
        ({"listen": "127.0.0.1:7", "zones": ["nowhere"]}, "watch: zones: a list of some of a, b is wanted"),
        ({"listen": "127.0.0.1:7", "zones": []}, "watch: zones: a list of some of a, b is wanted"),
        ({"listen": "127.0.0.1:7", "test_ms": 5_000}, "watch: test_ms: a number from 100 to 1000 is wanted"),
        ({"listen": "127.0.0.1:7", "test_ms": True}, "watch: test_ms: a number from 100 to 1000 is wanted"),
    ],
)
def test_a_bad_watcher_is_named(watch: Any, says: str) -> None:
    with pytest.raises(ConfigError, match=f"^{says}"):
        watch_config_of(raw_config(watch=watch))


def test_a_good_watcher() -> None:
    config = watch_config_of(raw_config(watch={"listen": "127.0.0.1:7", "zones": ["b"]}))
    assert (config.listen.port, config.zones, config.test_ms) == (7, frozenset({1}), 1_000.0)


@pytest.mark.parametrize("named", [False, True])
def test_liveness_is_loaded_only_where_watchers_are_named(named: bool, tmp_path: Path) -> None:
    code = (
        "import asyncio, json, sys\n"
        "from pathlib import Path\n"
        "from kelpfront.platform import __main__\n"
        "from kelpfront.platform.config import config_of\n"
        "from kelpfront.platform.service import Service\n"
        "Service(Path(''), config_of(json.loads(sys.argv[1])))\n"
        "print(sorted(m for m in sys.modules if 'liveness' in m or 'failure_detect' in m))"
    )
    raw = raw_config() | ({"liveness": {"watchers": ["127.0.0.1:7"]}} if named else {})
    result = subprocess.run(
        [sys.executable, "-c", code, json.dumps(raw)], capture_output=True, text=True, check=True
    )
    ours = [name for name in result.stdout.split("'") if name.startswith("kelpfront.")]
    assert bool(ours) is named


# ---- Processes, and faults between them -----------------------------------------------------------------


async def test_what_watchers_reach_is_kept_and_without_watchers_placers_ask(tmp_path: Path) -> None:
    """Workers answer watchers and no placer: then watchers die, workers answer all, and one vanishes."""
    async with Deployment(tmp_path) as its:
        its.mute = lambda name, placer: placer
        await has_news(its, 0, 1)
        await asyncio.sleep(LONG_S)
        assert lost(its) == set()
        its.mute = lambda name, placer: False
        for watcher in its.watchers.values():
            await watcher.kill()
        its.asked.clear()
        own = {(name, True) for name in its.workers}
        await until(lambda: own <= {*its.asked}, KNOWN_S)
        its.mute = lambda name, placer: name == "s-00000003"
        await knows(its, "s-00000003")


async def test_a_watcher_that_stood_still_and_bad_paths_to_placers_hide_nothing(tmp_path: Path) -> None:
    """A zone vanishes while one watcher stands still and datagrams are lost, doubled, late, out of order."""
    async with Deployment(tmp_path) as its:
        await has_news(its, 0, 1)
        for relay in its.relays.values():
            relay.fate = lambda rng: [rng.uniform(0.0, 3.0) for _ in range(2) if rng.random() < 0.5]
        its.watchers["w0"].stop()
        gone = its.zone("c")
        its.mute = lambda name, placer: name in gone
        await asyncio.sleep(5.0)
        its.watchers["w0"].go_on()
        await knows(its, *gone)
        assert all(watcher.alive for watcher in its.watchers.values())


async def test_paths_that_one_process_lacks(tmp_path: Path) -> None:
    """A zone cut off from one placer, another from one watcher; one worker answers no watcher at all.

    The other watcher is cut off from the other placer.
    """
    async with Deployment(tmp_path, proxied=("p0", "w0")) as its:
        await has_news(its, 0, 1)
        its.relays["p1", "w1"].fate = lambda rng: []
        for who, zone in (("p0", "b"), ("w0", "c")):
            for worker in its.zone(zone):
                its.proxies[who, worker].path.up.drops = True
        its.mute = lambda name, placer: name == "s-00000000" and not placer
        await until(lambda: its.told("p0", "answers others, and not this placer"), KNOWN_S)
        await asyncio.sleep(LONG_S)
        assert lost(its) == set()
        for worker in its.zone("b"):
            its.proxies["p0", worker].path.up.drops = False
        await until(lambda: its.told("p0", "are reached again"), KNOWN_S)
        its.mute = lambda name, placer: name in ("s-00000001", "s-00000002")
        await knows(its, "s-00000001", "s-00000002")


async def test_restarts_of_workers_watchers_and_placers(tmp_path: Path) -> None:
    async with Deployment(tmp_path) as its:
        await has_news(its, 0, 1)
        zone = its.zone("d")
        its.mute = lambda name, placer: name in zone  # gone, and back at once
        await asyncio.sleep(2.0)
        its.mute = lambda name, placer: False
        await asyncio.sleep(3.0)  # until watchers have told of their new lives and of the zone
        await its.restart("s-00000005")
        key = "machines asked as they may have started anew"
        await until(lambda: all(its.figures(name).get(key) for name in its.placers), KNOWN_S)
        for watcher in its.watchers.values():
            await watcher.kill()
        older = its.watchers["w0"].config["known"]["updates"][0]["endpoints"]["members"]
        del older[2]
        for watcher in its.watchers.values():
            await watcher.start()
        for text in ("watcher 1 has started anew", "watcher 0 has another list: machines are asked"):
            await until(lambda text=text: all(its.told(p, text) for p in its.placers), KNOWN_S)  # type: ignore[misc]
        assert lost(its) == set()
        for name, placer in its.placers.items():
            await placer.kill()
            placer.log_path.unlink()
            await placer.start()
            await its.hand_over(name)
        await has_news(its, 0, 1)
        its.mute = lambda name, placer: name == "s-00000007"
        await knows(its, "s-00000007")


async def test_a_cut_between_regions(tmp_path: Path) -> None:
    """Minutes are played as seconds. What no path shows is released while that is owed, and nothing else."""
    near, far = ZONES[:2], ZONES[2:]
    async with Deployment(tmp_path, watched=(near, far), proxied=("p0", "p1", "w0", "w1")) as its:
        await has_news(its, 0, 1)
        across = {"p0": far, "w0": far, "p1": near, "w1": near}
        for (who, worker), proxy in its.proxies.items():
            proxy.path.up.drops = its.zones[worker] in across[who]
        its.relays["p0", "w1"].fate = its.relays["p1", "w0"].fate = lambda rng: []
        wanted = {(p, w) for p in its.placers for z in across[p] for w in its.zone(z)}
        await until(lambda: wanted <= lost(its), KNOWN_S)
        await asyncio.sleep(3.0)
        assert lost(its) == wanted


async def test_a_watcher_ends_when_it_is_told_to_and_says_what_is_wrong(tmp_path: Path) -> None:
    async with Deployment(tmp_path, workers=4, placers=0, watched=(ZONES,)) as its:
        watcher = its.watchers["w0"]
        await until(lambda: its.log("w0"), KNOWN_S)  # it is watching
        assert await watcher.end() == 0
        watcher.config["watch"]["zones"] = ["nowhere"]
        await watcher.start()
        await until(lambda: not watcher.alive, KNOWN_S)
        assert "watch: zones: a list of some of a, b, c, d" in watcher.log_path.read_text()
