"""Runs the Python examples of README.md and docs/library.md."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest
from clusters import cluster

ROOT = Path(__file__).parents[2]


def example(page: str) -> str:
    (text,) = re.findall(r"```python\n(.*?)```", (ROOT / page).read_text(), re.DOTALL)
    assert isinstance(text, str)
    return text


def test_library_example_places_a_task(capsys: pytest.CaptureFixture[str]) -> None:
    exec(compile(example("docs/library.md"), "library.md", "exec"), {})
    assert re.fullmatch(r"offer task 42 to machine [123], wait \d+ ms\n", capsys.readouterr().out)


async def test_client_example_places_its_tasks(capsys: pytest.CaptureFixture[str]) -> None:
    async with cluster(2) as (_, service, _client):
        code = example("README.md").replace("http://127.0.0.1:8140", service.url)
        await asyncio.to_thread(exec, compile(code, "README.md", "exec"), {})
    placed_lines = [line for line in capsys.readouterr().out.splitlines() if "Placed" in line]
    assert [re.sub(r"n\d", "N", line) for line in placed_lines] == ["0 Placed N", "1 Placed N"]
