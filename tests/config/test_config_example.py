"""The commented example of a placer's settings can be used as it is, and with its defaults written out."""

from __future__ import annotations

from kelpfront.config import placer_example
from kelpfront.config.model import PLACER_LAYOUT
from kelpfront.config.reader import parse_config


def write_out_defaults(example: str) -> str:
    """Return the example with the keys that are commented out, as their explanations are not."""
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


def test_example_with_its_defaults_written_out_reads_the_same() -> None:
    text = placer_example()

    assert parse_config(write_out_defaults(text), "all defaults written out") == parse_config(text, "example")
