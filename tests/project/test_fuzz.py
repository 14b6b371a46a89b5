"""Fuzz tests: each reader must accept its input or raise its own error, and let no other exception escape.

Inputs are the files of `corpus/`, unchanged and mutated. The corpus keeps inputs that once broke a reader.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import h11
import pytest
from google.protobuf.message import DecodeError
from hypothesis import example, given, settings
from hypothesis import strategies as st
from pydantic import ValidationError

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JOB_INPUT
from kelpfront.config import ConfigError
from kelpfront.config.reader import parse_config
from kelpfront.inventory import Inventory, InventoryError, KindSize, read_inventory
from kelpfront.lab.experiments.plan import PlanError, read_plan
from kelpfront.lab.load.arrivals import TraceError, read_trace
from kelpfront.lab.timeline.emulation import Emulation
from kelpfront.lab.timeline.loop import VirtualLoop, run
from kelpfront.lab.timeline.network import Network, at
from kelpfront.lab.timeline.script import ScriptError, read_day
from kelpfront.rpc.jobs import job_data
from kelpfront.v1 import api_pb2

CORPUS = Path(__file__).parents[1] / "corpus"
TOKENS = (
    b"\n",
    b"\r\n",
    b"\0",
    b"\xff",
    b"=",
    b"[",
    b"]",
    b"{",
    b"}",
    b":",
    b",",
    b"-1",
    b"1e309",
    b"nan",
    b'"',
    b" ",
)


def corpus(kind: str) -> list[bytes]:
    found = [path.read_bytes() for path in sorted((CORPUS / kind).iterdir())]
    assert found
    return found


def changed(data: bytes, rng: random.Random) -> bytes:
    """Return a mutation of the data: some bytes removed, repeated, replaced, inserted or moved."""
    raw = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        first = rng.randrange(len(raw) + 1)
        last = min(len(raw), first + rng.randint(0, 12))
        match rng.randrange(5):
            case 0:
                del raw[first:last]
            case 1:
                raw[first:first] = raw[first:last] * rng.randint(1, 3)
            case 2:
                raw[first:first] = rng.choice(TOKENS)
            case 3 if raw:
                raw[rng.randrange(len(raw))] = rng.randrange(256)
            case _:
                raw = raw[:last] + raw[first:]
    return bytes(raw)


def load_day_script(_: str) -> str:
    return "name: short\nseconds: 4\nmachines: 3\n"


def settings_reader(data: bytes, _: Path) -> None:
    parse_config(data.decode("utf-8", "replace"), "fuzzed")


def inventory_reader(suffix: str) -> Callable[[bytes, Path], None]:
    def read(data: bytes, folder: Path) -> None:
        path = folder / f"fuzzed{suffix}"
        path.write_bytes(data)
        read_inventory(path, {"small": KindSize(24.0, 48.0)}, ("hall-a", "hall-b"))

    return read


def plan_reader(data: bytes, _: Path) -> None:
    read_plan(data.decode("utf-8", "replace"), "fuzzed", load_day_script)


def day_reader(data: bytes, _: Path) -> None:
    read_day(data.decode("utf-8", "replace"), "fuzzed")


def trace_reader(data: bytes, _: Path) -> None:
    read_trace(data.decode("utf-8", "replace"), "fuzzed", ["web", "blend"])


READERS: dict[str, tuple[Callable[[bytes, Path], None], type[Exception]]] = {
    "settings": (settings_reader, ConfigError),
    "inventory-csv": (inventory_reader(".csv"), InventoryError),
    "inventory-yaml": (inventory_reader(".yaml"), InventoryError),
    "day": (day_reader, ScriptError),
    "plan": (plan_reader, PlanError),
    "trace": (trace_reader, TraceError),
}


@pytest.mark.parametrize("kind", READERS)
def test_reader_accepts_a_file_or_raises_its_own_error(kind: str, tmp_path: Path) -> None:
    read, allowed = READERS[kind]
    items = corpus(kind)
    rng = random.Random(f"fuzz/{kind}")
    inputs = items + [changed(rng.choice(items), rng) for _ in range(400)]
    rejections: list[tuple[bytes, str]] = []
    for data in inputs:
        try:
            read(data, tmp_path)
        except allowed as error:
            rejections.append((data, str(error)))
    for data, text in rejections:
        assert "fuzzed" in text or "command line" in text, data
        assert len(text) < 100_000
    # Some inputs must be accepted and some rejected; otherwise the mutations are too weak or too strong.
    assert 0 < len(rejections) < len(inputs)


def test_unexpected_exception_of_a_reader_is_not_hidden(tmp_path: Path) -> None:
    def reader_without_error_handling(data: bytes, _: Path) -> None:
        for line in data.decode("utf-8", "replace").splitlines()[1:]:
            float(line.split(",")[0])

    original = READERS["trace"]
    READERS["trace"] = reader_without_error_handling, TraceError
    try:
        with pytest.raises(ValueError, match="could not convert"):
            test_reader_accepts_a_file_or_raises_its_own_error("trace", tmp_path)
    finally:
        READERS["trace"] = original


# ---- gRPC messages ----------------------------------------------------------------------------------------


def submit_messages() -> list[bytes]:
    request = api_pb2.SubmitRequest(namespace="a")
    request.metadata.name = "j"
    request.metadata.labels["x"] = "y"
    request.spec.service = "s"
    request.spec.cores = 1.0
    return [request.SerializeToString(), *corpus("grpc")]


@settings(max_examples=400)
@given(st.integers(0, 2**32))
@example(0)
def test_a_grpc_message_is_a_job_or_is_refused_as_json_is(seed: int) -> None:
    rng = random.Random(seed)
    data = changed(rng.choice(submit_messages()), rng)
    try:
        request = api_pb2.SubmitRequest.FromString(data)
    except DecodeError:
        return
    try:
        JOB_INPUT.validate_python(job_data(request.metadata, request.spec))
    except (ValidationError, ApiError):
        return


# ---- HTTP -------------------------------------------------------------------------------------------------


async def send(data: bytes) -> list[int]:
    """Return the statuses received over one connection; h11 must be able to parse each response."""
    reader, writer = await asyncio.open_connection("p0", 8140)
    writer.write(data)
    writer.write_eof()
    raw = b""
    try:
        async with asyncio.timeout(60.0):
            while chunk := await reader.read(65_536):
                raw += chunk
                if len(raw) > 1 << 20:
                    break
    except (TimeoutError, ConnectionError):
        pass
    writer.transport.abort()
    statuses = []
    while raw:
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("host", "p")]))
        client.send(h11.EndOfMessage())
        client.receive_data(raw)
        event = client.next_event()
        if event is h11.NEED_DATA:
            break
        assert isinstance(event, h11.Response), event
        statuses.append(event.status_code)
        while isinstance(event, (h11.Response, h11.Data)):
            event = client.next_event()
        if not isinstance(event, h11.EndOfMessage):
            break  # a watch, cut off when this function stopped reading
        raw = client.trailing_data[0]
    return statuses


@pytest.mark.parametrize("seed", range(6))
def test_rest_front_answers_or_closes_the_connection_and_stays_ready(seed: int) -> None:
    loop = VirtualLoop()
    network = loop.network = Network(seed)
    errors: list[str] = []
    loop.set_exception_handler(lambda _, context: errors.append(str(context)))

    async def main() -> list[int]:
        emulation = Emulation(read_day("name: fuzz\nmachines: 2\nplacers: 1\n", "test"), seed, loop, network)
        hosts = await emulation.fleet.start()
        emulation.inventory = Inventory("test", {host.name: host for host in hosts})
        await emulation.start_placer(emulation.placers[0])
        found: list[int] = []
        rng = random.Random(f"http/{seed}")
        items = corpus("http")
        with at("owners"):
            for number in range(60):
                data = items[number] if number < len(items) else changed(rng.choice(items), rng)
                found += await send(data)
                assert (await send(b"GET /readyz HTTP/1.1\r\nHost: p\r\n\r\n"))[:1] == [200], data
        service = emulation.placers[0].service
        assert service is not None
        await service.close()
        emulation.fleet.close()
        return found

    statuses: Any = run(main(), loop)
    assert errors == []
    assert {201, 400} <= set(statuses)
    assert not [status for status in statuses if status >= 500 and status != 501], statuses
