"""The judge of levels: same seed, same run; and what it sees of levels that are wrong."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from kelpfront.controller.status_publisher import StatusPublisher
from kelpfront.degradation import AdmissionRequest, Level, LevelStateMachine, thresholds
from kelpfront.degradation import level_state_machine as state_machine_module
from kelpfront.degradation.load_shedder import LoadShedder
from kelpfront.lab.levels import Run
from kelpfront.lab.levelscripts import SCRIPTS, Fault, Script


def steps(at_s: float) -> float:
    return 0.5 if at_s < 10 else 2.5


SHORT = Script("short", "a step to 2.5 times", 32, steps, causes=((10, 32),))


def judged(script: Script, seed: int = 1, scheme: Any = "levels") -> dict[str, Any]:
    return Run(script, scheme, seed).run()


@pytest.fixture(scope="module")
def right() -> dict[str, Any]:
    return judged(SHORT)


def test_the_same_seed_gives_the_same_run_and_no_rule_is_broken(right: dict[str, Any]) -> None:
    assert judged(SHORT) == right
    assert right["violations"] == 0 and 1 <= right["changes"] <= right["changes_most"]
    assert right["enter_s"][0] < 10 and right["asked"] > 500


def test_with_levels_the_dear_are_placed_in_time_and_refusals_come_soon(right: dict[str, Any]) -> None:
    off = judged(SHORT, scheme="off")
    assert off["violations"] == 0 and off["changes"] == 0
    assert right["dear_placed"] >= off["dear_placed"]
    assert right["dear_in_aim"] > off["dear_in_aim"] + 0.1
    assert right["worth"] > off["worth"]
    assert right["refused_soon"] > 0.8 > off["refused_soon"]


@pytest.mark.parametrize("fault", ["silence", "lose-room", "restart", "greedy", "full"])
def test_no_rule_is_broken_when_things_fail(fault: Any) -> None:
    what = {"lose-room": "room-0", "full": "ingest"}.get(fault, "")
    value = {"silence": 3.0, "greedy": 50.0, "full": 0.5}.get(fault, 0.0)
    script = Script("short", "", 24, steps, (Fault(14, fault, what, value, 5),), ((10, 24),))
    figures = judged(script)
    assert figures["violations"] == 0, figures["examples"]
    assert figures["changes"] <= figures["changes_most"]


def test_one_greedy_owner_does_not_starve_the_others() -> None:
    faults = (Fault(8, "greedy", "", 50.0, 20),)
    script = Script("short", "", 28, lambda at_s: 0.4, faults, ((8, 28),))
    with_levels, without = judged(script), judged(script, scheme="off")
    assert with_levels["others_placed"] > 0.99
    assert with_levels["others_at_first"] > without["others_at_first"] + 0.1


def test_every_script_names_its_causes_and_a_limit() -> None:
    for script in SCRIPTS.values():
        assert script.changes_most >= 1
        for begin, end in script.causes:
            assert 0 <= begin < end <= script.seconds
        assert script.demand(0.0) > 0 and script.demand(script.seconds) > 0


# ---- Wrong versions ---------------------------------------------------------------------------------------


@pytest.fixture
def swinging(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """One bound in place of two, and no time that evidence must last."""
    one_bound = tuple(
        thresholds.SignalThresholds(
            signal.name,
            signal.description,
            signal.unit,
            *(
                None if threshold is None else thresholds.Threshold(threshold.entry, threshold.entry)
                for threshold in (signal.careful, signal.essential, signal.holding)
            ),
        )
        for signal in thresholds.OVERLOAD_SIGNALS
    )
    no_delay = dict.fromkeys(thresholds.ENTRY_DELAY_MS, 0.0)
    monkeypatch.setattr(state_machine_module, "ENTRY_DELAY_MS", no_delay)
    monkeypatch.setattr(state_machine_module, "EXIT_DELAY_MS", no_delay)
    monkeypatch.setattr(state_machine_module, "RANK_RESTORE_INTERVAL_MS", 0.0)
    monkeypatch.setattr(LevelStateMachine, "can_lower_to", lambda self, level: True)
    monkeypatch.setattr(LevelStateMachine.__init__, "__defaults__", (one_bound,))
    yield


@pytest.mark.usefixtures("swinging")
def test_levels_that_swing_are_seen() -> None:
    script = Script("short", "", 60, lambda at_s: 1.08, causes=((0, 60),))
    assert judged(script)["changes"] > script.changes_most


def test_answers_that_wait_for_the_next_showing_are_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    def late(self: StatusPublisher, now: float, period_ms: float) -> None:
        if now >= self._published_at + 3 * period_ms:
            self.flush(now)

    monkeypatch.setattr(StatusPublisher, "flush_due", late)
    script = Script("short", "", 22, lambda at_s: 2.5, causes=((0, 22),))
    run = Run(script, "levels", 1)

    def hold() -> None:
        run.placer.controller.pin_level(run.world.now, Level.HOLDING, 60_000.0)

    run.world.at(
        run.world.now + 6_000.0,
        hold,
    )
    figures = run.run()
    assert any("one-answer" in one for one in figures["examples"]), figures["examples"]


def test_a_door_that_gives_up_the_dear_first_is_seen(
    monkeypatch: pytest.MonkeyPatch, right: dict[str, Any]
) -> None:
    decide = LoadShedder.decide

    def decide_for_opposite_class(self: LoadShedder, now: float, request: AdmissionRequest) -> Any:
        last_class = len(self._inputs.priority_order.rank_of_class) - 1
        return decide(self, now, replace(request, class_index=last_class - request.class_index))

    monkeypatch.setattr(LoadShedder, "decide", decide_for_opposite_class)
    figures = judged(SHORT)
    assert figures["dear_at_first"] < right["dear_at_first"] - 0.05
