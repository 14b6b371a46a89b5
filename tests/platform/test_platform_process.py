"""Tests the placer process as the deploy file starts it, and that it does nothing a platform forbids."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from pathlib import Path

import platforms
import psutil
from waiting import until

from kelpfront.lab.platform import Coordinator, Json, Machine, Peer, event, member, offer

ROOT = Path(__file__).parents[2]
# A sitecustomize module, loaded through PYTHONPATH, that records operations which a platform may forbid.
AUDIT_MODULE = """
import os, sys
_seen = os.open(os.environ["WATCH_FILE"], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
_REFUSED = ("subprocess.", "os.fork", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "pty.")

def _note(kind, what):
    os.write(_seen, f"{kind} {what}\\n".encode())

def _hook(name, args):
    if name.startswith(_REFUSED):
        _note("process", name)
    elif name == "socket.bind":
        _note("bind", f"{int(args[0].family)} {args[1]!r}")
    elif name == "socket.connect":
        _note("connect", f"{int(args[0].family)} {args[1]!r}")
    elif name == "open" and isinstance(args[0], (str, bytes)):
        flags = args[2] if isinstance(args[2], int) else 0
        written = flags & (os.O_WRONLY | os.O_RDWR | os.O_CREAT)
        _note("write" if written else "read", os.fsdecode(args[0]))

for _call in ("sendfile", "splice"):
    setattr(os, _call, lambda *_, _call=_call, **__: _note("process", _call))
sys.addaudithook(_hook)
"""


def recorded(path: Path, kind: str) -> list[str]:
    lines = (line.partition(" ") for line in path.read_text().splitlines())
    return [rest for line_kind, _, rest in lines if line_kind == kind]


def write_config(path: Path, machine: Machine, port: int, coordinator: Coordinator) -> None:
    info = platforms.info()
    for category in info["Categories"]:
        category["DeadlineMs"] = 1000.0
    changes: Json = {"settings": info, "listen": f"127.0.0.1:{port}"}
    listed = member("m-1", machine.address)
    path.write_text(json.dumps(platforms.raw_config(listed, coordinator=coordinator.address, **changes)))


async def test_the_run_command_ends_in_one_process_that_starts_none_and_writes_no_files(
    tmp_path: Path,
) -> None:
    """Guards against features that a platform forbids: further processes, Unix sockets, written files."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert run.startswith("exec .venv/bin/python ")
    audit_path = tmp_path / "watch"
    audit_path.mkdir()
    (audit_path / "sitecustomize.py").write_text(AUDIT_MODULE)
    machine, first, second = Machine("m-1"), Coordinator(), Coordinator()
    for peer in (machine, first, second):
        await peer.start()
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    config = tmp_path / "config.json"
    write_config(config, machine, port, first)
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        run.replace(".venv/bin/python", sys.executable),
        cwd=ROOT,
        env=os.environ
        | {"LB_CONFIG": str(config), "PYTHONPATH": str(audit_path), "WATCH_FILE": str(tmp_path / "seen")},
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stderr is not None
        async with asyncio.timeout(60):
            while b'"serving"' not in await process.stderr.readline():
                pass
        drain = asyncio.create_task(process.stderr.read())
        client = Peer(*await asyncio.open_connection("127.0.0.1", port))
        client.say(offer())
        assert (answer := await client.read()) is not None
        assert answer["op"] == "accept"
        write_config(config, machine, port, second)
        process.send_signal(signal.SIGHUP)
        second.events.append(event(2, member("m-2", machine.address)))
        await until(lambda: second.asked)
        assert psutil.Process(process.pid).children() == []
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        assert "/libc" in maps
        assert "/ld" in maps
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(30):
            assert await process.wait() == 0
        await drain
    finally:
        if process.returncode is None:
            process.kill()
        machine.die()
        await first.stop()
        await second.stop()
    record = tmp_path / "seen"
    assert recorded(record, "process") == []
    assert recorded(record, "write") == []
    assert [what.split()[0] for what in recorded(record, "bind")] == [str(int(socket.AF_INET))]
    assert {what.split()[0] for what in recorded(record, "connect")} == {str(int(socket.AF_INET))}
    code_paths = (sys.prefix, sys.base_prefix, str(ROOT / "kelpfront"), str(audit_path), "/proc/self/")
    assert {path for path in recorded(record, "read") if not path.startswith(code_paths)} == {str(config)}
