"""The arrow of imports: decisions <- core (sans I/O) <- service, fronts, agent <- command line."""

from __future__ import annotations

import ast
import graphlib
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2] / "kelpfront"

# What each part may import of the project. A part that is not named may import only what all may.
ALL = {
    "kelpfront.logs",
    "kelpfront.timers",
    "kelpfront.units",
    "kelpfront.clock",
    "kelpfront.numbers",
    "kelpfront.backoff",
    "kelpfront.scheduling.actions",
    "kelpfront.scheduling.events",
    "kelpfront.scheduling.settings",
}
MAY: dict[str, set[str]] = {
    "scheduling": set(),
    "wire": {"kelpfront.scheduling.actions", "kelpfront.scheduling.events", "kelpfront.scheduling.settings"},
    "simhost": {
        "kelpfront.scheduling.actions",
        "kelpfront.scheduling.events",
        "kelpfront.scheduling.scheduler",
        "kelpfront.wire",
    },
    "api": set(),
    "background": set(),
    "degradation": set(),
    "store": {"kelpfront.api"},
    "inventory": set(),
    "machine": {"kelpfront.http", "kelpfront.v1"},
    "controller": {
        "kelpfront.api",
        "kelpfront.store",
        "kelpfront.inventory",
        "kelpfront.degradation",
        "kelpfront.machine",
        "kelpfront.scheduling.scheduler",
    },
    "config": {"kelpfront.controller", "kelpfront.degradation"},
    "http": set(),
    "agent": {"kelpfront.machine", "kelpfront.http", "kelpfront.config"},
    "client": {"kelpfront.api", "kelpfront.http", "kelpfront.rpc", "kelpfront.v1"},
    "rpc": {"kelpfront.api", "kelpfront.v1"},
    "v1": set(),
    "fronts": {
        "kelpfront.rpc",
        "kelpfront.v1",
        "kelpfront.api",
        "kelpfront.store",
        "kelpfront.http",
        "kelpfront.controller",
    },
    "service": {
        "kelpfront.api",
        "kelpfront.store",
        "kelpfront.inventory",
        "kelpfront.machine",
        "kelpfront.controller",
        "kelpfront.config",
        "kelpfront.http",
        "kelpfront.fronts",
        "kelpfront.tracing",
        "kelpfront.v1",
    },
    "tracing": {"kelpfront.api", "kelpfront.controller"},
    "failure_detection": set(),
    "platform": {
        "kelpfront.scheduling.scheduler",
        "kelpfront.wire",
        "kelpfront.http",
        "kelpfront.failure_detection",
    },
    "failure_detector": {"kelpfront.failure_detection", "kelpfront.platform"},
    "watch": {"kelpfront.failure_detector"},
}
PURE = (
    "api",
    "background",
    "degradation",
    "failure_detection",
    "rpc",
    "controller",
    "inventory",
    "scheduling",
    "units",
    "numbers",
    "backoff",
    "timers",
)
"""Parts that do no I/O and read no clock."""
PURE_FILES = {
    "agent": {"orphans", "recovery", "usage"},
    "client": {"events", "informer", "retry"},
    "fronts": {
        "binding_session",
        "discovery",
        "job_progress",
        "job_submission",
        "openapi",
        "parameters",
        "paths",
        "responses",
    },
    "platform": {
        "adopted_tasks",
        "attempts",
        "client_messages",
        "core",
        "core_access",
        "core_state",
        "counters",
        "descriptor_shares",
        "discovery_freshness",
        "endpoint_events",
        "endpoint_table",
        "endpoint_updates",
        "health_checks",
        "idle_connections",
        "intents",
        "limits",
        "log_records",
        "machine_messages",
        "machine_tasks",
        "messages",
        "poll_pacing",
        "request_lifecycle",
        "requests",
        "running_tasks",
        "scheduler_driver",
        "sessions",
        "timeouts",
    },
    "store": {
        "errors",
        "history",
        "listing",
        "objects",
        "records",
        "resource_store",
        "segments",
        "snapshots",
        "watch",
    },
    "tracing": {"finished_tasks", "spans"},
    "machine": {
        "admission",
        "grpc_conversion",
        "idempotency_records",
        "messages",
        "model",
        "node",
        "outbox",
        "stream_offset",
        "report_log",
        "slow_start",
    },
}
"""Files without I/O of parts that have some."""
IMPURE = {"asyncio", "socket", "time", "threading", "subprocess", "select", "uuid", "secrets"}


def modules() -> list[Path]:
    return sorted(ROOT.rglob("*.py"))


def part_of(path: Path) -> str:
    return path.relative_to(ROOT).parts[0].removesuffix(".py")


def imports(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found |= {f"{node.module}.{alias.name}" for alias in node.names if node.module == "kelpfront"}
    return found


@pytest.mark.parametrize("path", modules(), ids=lambda path: str(path.relative_to(ROOT)))
def test_imports_run_one_way(path: Path) -> None:
    part = part_of(path)
    if part == "lab":  # beside all others; the command line is above it
        assert not {name for name in imports(path) if name.split(".")[:2] == ["kelpfront", "cli"]}
    if part in ("cli", "lab", "__init__", "__main__"):
        return
    allowed = MAY.get(part, set()) | (ALL if part not in ("scheduling", "wire", "simhost") else set())
    for name in imports(path):
        if not name.startswith("kelpfront."):
            continue
        depth = 3 if name.startswith("kelpfront.scheduling.") else 2  # its interface is open to all, no more
        top = ".".join(name.split(".")[:depth])
        assert top in allowed or top.split(".")[1] == part, f"{path.name} imports {name}"


def test_no_file_imports_itself_by_way_of_others() -> None:
    """Guards against two files that need each other, also where one import is for types alone."""
    dotted = {".".join(path.relative_to(ROOT.parent).with_suffix("").parts): path for path in modules()}
    files = {name.removesuffix(".__init__"): path for name, path in dotted.items()}
    graph: dict[str, set[str]] = {}
    for name, path in files.items():
        needed = imports(path)
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:  # of a package: the file that is meant
                needed.discard(node.module)
                whole = (f"{node.module}.{alias.name}" for alias in node.names)
                needed |= {one if one in files else node.module for one in whole}
        graph[name] = (needed & set(files)) - {name}
    graphlib.TopologicalSorter(graph).prepare()  # CycleError names the circle


def test_each_pure_file_that_is_named_is_there() -> None:
    """Guards against a file that is renamed and no longer looked at."""
    for part, names in PURE_FILES.items():
        assert not names - {path.stem for path in (ROOT / part).rglob("*.py")}


@pytest.mark.parametrize("path", modules(), ids=lambda path: str(path.relative_to(ROOT)))
def test_what_decides_does_no_io_and_reads_no_clock(path: Path) -> None:
    part = part_of(path)
    pure = part in PURE or path.stem in PURE_FILES.get(part, ())
    files = path.name == "read.py" and part == "inventory"
    if pure and not files:
        assert not {name.split(".")[0] for name in imports(path)} & IMPURE


def test_the_bench_adapter_needs_the_standard_library_only() -> None:
    code = (
        "import sys, kelpfront.simhost\n"
        "known = set(sys.stdlib_module_names) | {'kelpfront', '__main__'}\n"
        "third = {m.split('.')[0] for m in sys.modules} - known\n"
        "third = {m for m in third if not m.startswith('_') and getattr(sys.modules[m], '__file__', None)}\n"
        "print(sorted(third))"
    )
    result = subprocess.run([sys.executable, "-I", "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.strip() in ("[]", "['sitecustomize']")


def test_a_placer_in_service_loads_no_other_front_store_or_tool() -> None:
    code = (
        "import sys, kelpfront.platform.__main__\n"
        "print(*sorted({m.split('.')[1] for m in sys.modules if m.startswith('kelpfront.')}))"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    wanted = {"platform", "scheduling", "wire", "http", "clock", "backoff", "logs", "timers"}
    assert set(result.stdout.split()) == wanted
