"""A run's figures as a table for people. Pure."""

from __future__ import annotations

from typing import Any

ROWS = (
    ("cpu_share", "processor, cores"),
    ("rss_mb", "resident, MB"),
    ("private_mb", "private, MB"),
    ("descriptors", "descriptors"),
    ("standing", "own tasks"),
    ("messages_s", "messages a second"),
    ("bytes_s", "bytes a second"),
    ("owners_in_s", "  from owners"),
    ("owners_out_s", "  to owners"),
    ("workers_in_s", "  from workers"),
    ("workers_out_s", "  to workers"),
    ("list_in_s", "  from the list"),
    ("list_out_s", "  to the list"),
)


def table(figures: dict[str, Any]) -> str:
    """Real placers side by side, then what the others saw."""
    real = figures["real"]
    lines = [_row("", [one["placer"] for one in real])]
    lines += [_row(text, [one[name] for one in real]) for name, text in ROWS]
    workers, drains = figures["workers"], figures["drains"]
    lines.append("")
    lines.append(
        f"workers: {workers['tests_s']} tests a second, {workers['connections']} connections, "
        f"{workers['connections_most']} at most on one"
    )
    for region, one in enumerate(figures["list"]):
        lines.append(
            f"list of region {region}: {one['asks_s']} asks a second, {one['bytes_out_s']} bytes a second out"
        )
    lines.append(
        f"a drain in force after ms: {drains['in_force_ms']}, offers past half a second: "
        f"{drains['late_offers']}"
    )
    for one in figures["failures"]:
        lines.append(
            f"{one['kind']} silent: {one['tasks']} tasks, owners told after s: {one['known_s']}, "
            f"{one['untold']} untold"
        )
    lines.append(f"answers: {figures['answers']}")
    if figures["restart"]:
        lines.append(f"restart: {figures['restart']}")
    return "\n".join(lines)


def slope_table(slopes: list[dict[str, Any]]) -> str:
    """Lines through the points; `bent` says that the points do not lie on one."""
    lines = [f"{'series':<16}{'figure':<30}{'intercept':>12}{'slope':>13}{'+-':>11}{'off most':>10}  unit"]
    for one in slopes:
        figure = f"{one['of']} {one['figure']}"
        spread = "" if one["se"] is None else f"{one['se']:.2g}"
        lines.append(
            f"{one['sweep']:<16}{figure:<30}{one['intercept']:>12.5g}{one['slope']:>13.4g}{spread:>11}"
            f"{one['residual_most']:>10.0%}  {one['unit']}{'' if one['straight'] else ', bent'}"
        )
    return "\n".join(lines)


def _row(text: str, values: list[Any]) -> str:
    return f"{text:<20}" + "".join(f"{value!s:>12}" for value in values)
