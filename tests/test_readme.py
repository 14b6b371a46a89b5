"""The README's library example runs and places its task."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_the_library_example_places_a_task(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(example, "README.md", "exec"), {})
    assert re.fullmatch(r"offer task 42 to machine [123], wait \d+ ms\n", capsys.readouterr().out)
