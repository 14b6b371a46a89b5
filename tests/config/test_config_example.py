"""The commented example of a placer's settings is valid, and its commented-out values are the defaults."""

from __future__ import annotations

from kelpfront.config import placer_example
from kelpfront.config.model import PLACER_LAYOUT
from kelpfront.config.reader import parse_config


def uncomment_defaults(example: str) -> str:
    """Return the example with its defaults uncommented; explanations, which contain a "(", stay comments."""
    lines = []
    for line in example.splitlines():
        is_default = line.startswith("# ") and " = " in line and "(" not in line
        lines.append(line.removeprefix("# ") if is_default else line)
    return "\n".join(lines)


def test_example_has_every_section_and_key() -> None:
    text = placer_example()
    models = dict(PLACER_LAYOUT.plain)
    models.update({f"{prefix} ": named.model for prefix, named in PLACER_LAYOUT.named.items()})

    for heading, model in models.items():
        assert f"[{heading}" in text
        assert all(f"{key} =" in text for key in model.model_fields), heading


def test_example_with_its_defaults_uncommented_reads_the_same() -> None:
    text = placer_example()

    assert parse_config(uncomment_defaults(text), "defaults uncommented") == parse_config(text, "example")
