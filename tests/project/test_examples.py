"""Runs each example unchanged, as a separate process."""

from __future__ import annotations

import asyncio
import shutil
import sys
from pathlib import Path

import pytest
from clusters import cluster

EXAMPLES = Path(__file__).parents[2] / "examples"
EXPECTED_OUTPUT = {
    "rest.py": "Running",
    "grpc_calls.py": "Placed",
    "bindings.py": "bound",
    "without_asyncio.py": "Placed",
    "reflection.py": "True",
    "curl.sh": '"answer":"Placed"',
}


def test_every_example_has_an_expected_output() -> None:
    assert {path.name for path in EXAMPLES.iterdir() if path.is_file()} == set(EXPECTED_OUTPUT)


@pytest.mark.parametrize("name", EXPECTED_OUTPUT)
async def test_example_prints_the_expected_output(name: str) -> None:
    if name.endswith(".sh") and shutil.which("curl") is None:
        pytest.skip("no curl on this machine")
    async with cluster(2, "placer.grpc=127.0.0.1:0") as (_, service, _client):
        uses_grpc = name in ("grpc_calls.py", "bindings.py", "reflection.py")
        address = service.grpc_target if uses_grpc else service.url
        program = [str(EXAMPLES / name)] if name.endswith(".sh") else [sys.executable, str(EXAMPLES / name)]
        process = await asyncio.create_subprocess_exec(
            *program, address, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        output, errors = await asyncio.wait_for(process.communicate(), 60)
        assert process.returncode == 0, errors.decode()
        assert EXPECTED_OUTPUT[name] in output.decode()
