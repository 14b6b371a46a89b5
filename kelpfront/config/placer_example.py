"""The commented example of a placer's settings file, with one class for each kind of idempotency.

The keys are defined in `model`; `description` formats them.
"""

from __future__ import annotations

from kelpfront.config.description import ExampleSection, commented_example
from kelpfront.config.model import PLACER_LAYOUT

# Values of the keys that the example sets, by the heading of their section.
_EXAMPLE_VALUES: dict[str, dict[str, str]] = {
    "kind small": {"cores": "24", "memory": "48"},
    "kind large": {"cores": "48", "memory": "96"},
    "class web": {"effect": "safe", "aim": "1s", "deadline": "5s", "priority": "0"},
    "class ingest": {
        "effect": "keyed",
        "group": "room",
        "window": "8s",
        "aim": "700ms",
        "deadline": "5s",
        "worth": "3",
        "start_worth": "8s",
        "priority": "2",
        "apart": "rack",
        "together": "3",
        "calm": "0.8",
    },
    "class blend": {
        "effect": "unsafe",
        "aim": "600ms",
        "deadline": "8s",
        "worth": "2",
        "start_worth": "12s",
        "priority": "2",
        "calm": "0.8",
    },
    "owner climate": {"weight": "1.0"},
}


def placer_example() -> str:
    """Return a complete settings file of a placer: every key with its default, its bounds and its meaning."""
    sections = [ExampleSection(name, model) for name, model in PLACER_LAYOUT.plain.items()]
    for heading, values in _EXAMPLE_VALUES.items():
        prefix = heading.partition(" ")[0]
        sections.append(ExampleSection(heading, PLACER_LAYOUT.named[prefix].model, values))
    return commented_example("a kelpfront placer", sections)
