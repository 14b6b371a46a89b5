"""Failure detectors and placers as processes: configuration, loaded modules and released tasks."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from platforms import raw_config
from waiting import until

from kelpfront.failure_detection.log_events import (
    DetectorDiscovered,
    DetectorRestarted,
    MachineUnreachableFromHere,
    MembershipDiverged,
    ReachabilityRestored,
)
from kelpfront.failure_detector.config import parse_detector_config
from kelpfront.lab.fleet.settings import ZONES
from kelpfront.lab.fleet.watched import Deployment
from kelpfront.platform.config import ConfigError, parse_config

LOSS_DETECTED_AFTER_S = 9.0  # a machine that is unresponsive for this long has been declared lost
DEADLINE_S = 60.0  # for what takes 8 s on a host that is not busy


def released_pairs(deployment: Deployment) -> set[tuple[str, str]]:
    """Pairs of a placer and a machine whose tasks the placer has released."""
    return {(placer, worker) for placer, workers in deployment.released.items() for worker in workers}


def drop_all(rng: random.Random) -> list[float]:  # noqa: ARG001 - as the relay's method that it replaces
    """Drop every datagram: return no delivery delays."""
    return []


async def assert_only_lost(deployment: Deployment, *workers: str) -> None:
    """Assert that each placer releases the tasks on these machines, and no other tasks."""
    expected = {(placer, worker) for placer in deployment.placers for worker in workers}
    await until(lambda: expected <= released_pairs(deployment), DEADLINE_S)
    assert released_pairs(deployment) == expected


async def wait_until_discovered(deployment: Deployment, *detectors: int) -> None:
    """Wait until each placer has logged the discovery of each of these detectors."""
    await until(
        lambda: all(
            deployment.logged(name, DetectorDiscovered.event, detector=detector)
            for name in deployment.placers
            for detector in detectors
        ),
        DEADLINE_S,
    )


async def wait_until_logged(deployment: Deployment, name: str, event: str, **fields: Any) -> None:
    """Wait until a process has logged an event with these fields."""
    await until(lambda: deployment.logged(name, event, **fields), DEADLINE_S)


# ---- Configuration and loaded modules ---------------------------------------------------------------------


@pytest.mark.parametrize(
    ("watchers", "message"),
    [
        ("127.0.0.1:7", "expected a list of at most 16, got"),
        ([7], "expected HOST:PORT, got"),
        (["there:7"], "expected IPv4:PORT, got"),
        (["127.0.0.1:0"], "expected a port above 0, got"),
        (["127.0.0.1:7", "127.0.0.1:7"], "duplicate address in"),
        ([f"127.0.0.1:{port}" for port in range(1, 18)], "expected a list of at most 16, got"),
    ],
)
def test_an_invalid_list_of_detectors_is_rejected_with_its_key(watchers: Any, message: str) -> None:
    with pytest.raises(ConfigError, match=f"^liveness: watchers: {message}"):
        parse_config(raw_config(liveness={"watchers": watchers}))


@pytest.mark.parametrize(
    ("table", "message"),
    [
        (None, "watch: expected a JSON object, got"),
        ({}, "watch: listen: expected HOST:PORT, got"),
        (
            {"listen": "127.0.0.1:7", "zones": ["nowhere"]},
            "watch: zones: expected a list of some of a, b, got",
        ),
        ({"listen": "127.0.0.1:7", "zones": []}, "watch: zones: expected a list of some of a, b, got"),
        (
            {"listen": "127.0.0.1:7", "test_ms": 5_000},
            "watch: test_ms: expected a number from 100 to 1000, got",
        ),
        (
            {"listen": "127.0.0.1:7", "test_ms": True},
            "watch: test_ms: expected a number from 100 to 1000, got",
        ),
    ],
)
def test_an_invalid_detector_table_is_rejected_with_its_key(table: Any, message: str) -> None:
    with pytest.raises(ConfigError, match=f"^{message}"):
        parse_detector_config(raw_config(watch=table))


def test_a_valid_detector_table_is_read_with_defaults() -> None:
    config = parse_detector_config(raw_config(watch={"listen": "127.0.0.1:7", "zones": ["b"]}))
    assert (config.listen.port, config.zones, config.check_interval_ms) == (7, frozenset({1}), 1_000.0)


@pytest.mark.parametrize("has_detectors", [False, True])
def test_failure_detection_is_loaded_only_where_detectors_are_configured(*, has_detectors: bool) -> None:
    code = (
        "import asyncio, json, sys\n"
        "from pathlib import Path\n"
        "from kelpfront.platform import __main__\n"
        "from kelpfront.platform.config import parse_config\n"
        "from kelpfront.platform.service import Service\n"
        "Service(Path(''), parse_config(json.loads(sys.argv[1])))\n"
        "print(sorted(m for m in sys.modules if 'failure_detection' in m or 'watch' in m.split('.')[-1]))"
    )
    raw = raw_config() | ({"liveness": {"watchers": ["127.0.0.1:7"]}} if has_detectors else {})
    result = subprocess.run(
        [sys.executable, "-c", code, json.dumps(raw)], capture_output=True, text=True, check=True
    )
    loaded = [name for name in result.stdout.split("'") if name.startswith("kelpfront.")]
    assert bool(loaded) is has_detectors


# ---- Processes, and faults between them -------------------------------------------------------------------


async def test_machines_that_only_detectors_reach_are_kept_and_without_detectors_placers_check(
    tmp_path: Path,
) -> None:
    """First machines answer detectors only; then detectors die, machines answer placers, and one vanishes."""
    async with Deployment(tmp_path) as deployment:
        deployment.mute = lambda _name, placer: placer
        await wait_until_discovered(deployment, 0, 1)
        await asyncio.sleep(LOSS_DETECTED_AFTER_S)
        assert released_pairs(deployment) == set()
        deployment.mute = lambda _name, _placer: False
        for watcher in deployment.watchers.values():
            await watcher.kill()
        deployment.asked.clear()
        own_checks = {(name, True) for name in deployment.workers}
        await until(lambda: own_checks <= {*deployment.asked}, DEADLINE_S)
        deployment.mute = lambda name, _placer: name == "s-00000003"
        await assert_only_lost(deployment, "s-00000003")


async def test_losses_are_detected_despite_a_suspended_detector_and_faulty_paths_to_placers(
    tmp_path: Path,
) -> None:
    """A zone vanishes while a detector is suspended; datagrams are lost, duplicated, delayed, reordered."""
    async with Deployment(tmp_path) as deployment:
        await wait_until_discovered(deployment, 0, 1)
        for relay in deployment.relays.values():
            relay.fate = lambda rng: [rng.uniform(0.0, 3.0) for _ in range(2) if rng.random() < 0.5]
        deployment.watchers["w0"].stop()
        vanished = deployment.zone("c")
        deployment.mute = lambda name, _placer: name in vanished
        await asyncio.sleep(5.0)
        deployment.watchers["w0"].go_on()
        await assert_only_lost(deployment, *vanished)
        assert all(watcher.alive for watcher in deployment.watchers.values())


async def test_machines_that_only_one_process_cannot_reach_are_kept(tmp_path: Path) -> None:
    """One zone is unreachable from a placer, another from a detector, and a machine answers no detector.

    In addition, the other detector's datagrams do not reach the other placer.
    """
    async with Deployment(tmp_path, proxied=("p0", "w0")) as deployment:
        await wait_until_discovered(deployment, 0, 1)
        deployment.relays["p1", "w1"].fate = drop_all
        for process, zone in (("p0", "b"), ("w0", "c")):
            for worker in deployment.zone(zone):
                deployment.proxies[process, worker].path.up.drops = True
        deployment.mute = lambda name, placer: name == "s-00000000" and not placer
        await until(lambda: deployment.logged("p0", MachineUnreachableFromHere.event), DEADLINE_S)
        await asyncio.sleep(LOSS_DETECTED_AFTER_S)
        assert released_pairs(deployment) == set()
        for worker in deployment.zone("b"):
            deployment.proxies["p0", worker].path.up.drops = False
        await until(lambda: deployment.logged("p0", ReachabilityRestored.event), DEADLINE_S)
        deployment.mute = lambda name, _placer: name in ("s-00000001", "s-00000002")
        await assert_only_lost(deployment, "s-00000001", "s-00000002")


async def test_restarts_of_machines_detectors_and_placers_lose_no_task(tmp_path: Path) -> None:
    async with Deployment(tmp_path) as deployment:
        await wait_until_discovered(deployment, 0, 1)
        zone = deployment.zone("d")
        deployment.mute = lambda name, _placer: name in zone  # unresponsive for a moment
        await asyncio.sleep(2.0)
        deployment.mute = lambda _name, _placer: False
        await asyncio.sleep(3.0)  # time for detectors to send digests of the zone
        await deployment.restart("s-00000005")
        await until(
            lambda: all(deployment.figures(name).get("restart_checks") for name in deployment.placers),
            DEADLINE_S,
        )
        for watcher in deployment.watchers.values():
            await watcher.kill()
        older_members = deployment.watchers["w0"].config["known"]["updates"][0]["endpoints"]["members"]
        del older_members[2]
        for watcher in deployment.watchers.values():
            await watcher.start()
        for name in deployment.placers:
            await wait_until_logged(deployment, name, DetectorRestarted.event, detector=1)
            await wait_until_logged(deployment, name, MembershipDiverged.event, detector=0)
        assert released_pairs(deployment) == set()
        for name, placer in deployment.placers.items():
            await placer.kill()
            placer.log_path.unlink()
            await placer.start()
            await deployment.hand_over(name)
        await wait_until_discovered(deployment, 0, 1)
        deployment.mute = lambda name, _placer: name == "s-00000007"
        await assert_only_lost(deployment, "s-00000007")


async def test_a_partition_between_regions_loses_exactly_the_unreachable_machines(tmp_path: Path) -> None:
    """Tasks across the partition are released in time, and no others. Seconds stand for minutes."""
    first_region, second_region = ZONES[:2], ZONES[2:]
    async with Deployment(
        tmp_path, watched=(first_region, second_region), proxied=("p0", "p1", "w0", "w1")
    ) as deployment:
        await wait_until_discovered(deployment, 0, 1)
        zones_across = {"p0": second_region, "w0": second_region, "p1": first_region, "w1": first_region}
        for (process, worker), proxy in deployment.proxies.items():
            proxy.path.up.drops = deployment.zones[worker] in zones_across[process]
        deployment.relays["p0", "w1"].fate = deployment.relays["p1", "w0"].fate = drop_all
        expected = {
            (placer, worker)
            for placer in deployment.placers
            for zone in zones_across[placer]
            for worker in deployment.zone(zone)
        }
        await until(lambda: expected <= released_pairs(deployment), DEADLINE_S)
        await asyncio.sleep(3.0)
        assert released_pairs(deployment) == expected


async def test_a_detector_exits_on_sigterm_and_names_an_invalid_key_of_its_file(tmp_path: Path) -> None:
    async with Deployment(tmp_path, workers=4, placers=0, watched=(ZONES,)) as deployment:
        watcher = deployment.watchers["w0"]
        await until(lambda: deployment.log("w0"), DEADLINE_S)  # it has started
        assert await watcher.end() == 0
        watcher.config["watch"]["zones"] = ["nowhere"]
        await watcher.start()
        await until(lambda: not watcher.alive, DEADLINE_S)
        assert "watch: zones: expected a list of some of a, b, c, d" in watcher.log_path.read_text()
