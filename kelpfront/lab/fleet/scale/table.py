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


def _row(text: str, values: list[Any]) -> str:
    return f"{text:<20}" + "".join(f"{value!s:>12}" for value in values)
