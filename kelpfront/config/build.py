"""Settings as the placer and its decisions take them."""

from __future__ import annotations

from kelpfront import interface as api
from kelpfront.config.model import ClassSection, Config
from kelpfront.levels import LevelSettings
from kelpfront.placer.cluster import Cluster

PLACES = {
    None: api.Place.ALL,
    "none": api.Place.NONE,
    "machine": api.Place.MACHINE,
    "rack": api.Place.CELL,
    "room": api.Place.ZONE,
    "all": api.Place.ALL,
}


def build_cluster(config: Config) -> Cluster:
    """The decisions' settings; ValueError where they are impossible together."""
    cluster, rules, prices = config.cluster, config.rules, config.prices
    kinds = tuple(config.kinds)
    settings = api.Settings(
        me=config.placer.number,
        siblings=cluster.placers,
        zone=0,
        zones=1,
        tick_ms=cluster.tick,
        classes=tuple(_task_class(name, section, kinds) for name, section in config.classes.items()),
        kind_cores=tuple(kind.cores for kind in config.kinds.values()),
        kind_memory=tuple(kind.memory for kind in config.kinds.values()),
        mean_cores=cluster.mean_cores,
        mean_memory=cluster.mean_memory,
        accepts_cores=cluster.accepts_cores,
        accepts_memory=cluster.accepts_memory,
        ack_when_running=cluster.answer == "running",
        list_on_request=False,  # machines push what they have to tell
        list_tells_free=True,
        reports_use=cluster.reports_use,
        pushes_out=cluster.pushes_out,
        may_probe=True,
        may_cancel=True,
        max_attempts=cluster.max_attempts,
        connect_timeout_ms=cluster.connect_timeout,
        recheck_ms=cluster.recheck,
        max_retry_after_ms=cluster.max_retry_after,
        rules=api.Rules(
            answer_grace_ms=rules.answer_grace,
            drain_grace_ms=rules.drain_grace,
            ask_within_ms=0.0,
            cold_from=rules.cold_from,
            cold_ms=rules.cold_for,
            cold_multiple=rules.cold_multiple,
            cold_window_ms=rules.cold_window,
            cold_offers=rules.cold_offers,
        ),
        prices=api.Prices(
            refused_offer=prices.refused_offer,
            machines_held=prices.machines_held,
            move=prices.move,
            eviction_moves=prices.eviction_moves,
            waste=prices.waste,
            probe=prices.probe,
            list_line=prices.list_line,
        ),
    )
    return Cluster(settings, kinds, cluster.lost_after)


def build_levels(config: Config) -> LevelSettings:
    """The settings of the levels of reduced service."""
    section = config.levels
    return LevelSettings(
        section.enabled,
        section.changes_an_hour,
        section.essential_priority,
        {name: owner.weight for name, owner in config.owners.items()},
    )


def _task_class(name: str, section: ClassSection, kinds: tuple[str, ...]) -> api.TaskClass:
    return api.TaskClass(
        name=name,
        aim_ms=section.aim,
        deadline_ms=section.deadline,
        worth=section.worth,
        start_worth_s=section.start_worth / 1000.0,
        late_worth=section.late_worth,
        effect=api.Effect(section.effect),
        group=PLACES[section.group],
        window_ms=section.window or 0.0,
        priority=section.priority,
        needs_kind=None if section.needs_kind is None else kinds.index(section.needs_kind),
        apart=PLACES[section.apart],
        together_max=section.together,
        calm=section.calm,
        fade=section.fade,
    )
