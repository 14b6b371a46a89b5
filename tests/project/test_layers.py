"""Checks that imports run one way: decisions <- core (sans I/O) <- service, fronts, agent <- command line."""

from __future__ import annotations

import ast
import graphlib
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2] / "kelpfront"

# Modules that every part of the project may import, except `scheduling`, `wire` and `simhost`.
IMPORTABLE_BY_ALL = {
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
# Further modules that each part may import. A part that is not listed may import none of these.
ALLOWED_IMPORTS: dict[str, set[str]] = {
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
PURE_PARTS = (
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
"""Files without I/O, by part, in parts where other files do I/O."""
IO_AND_CLOCK_MODULES = {"asyncio", "socket", "time", "threading", "subprocess", "select", "uuid", "secrets"}


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
def test_module_imports_only_what_its_part_may(path: Path) -> None:
    part = part_of(path)
    if part == "lab":  # may import every part except the command line, which imports it
        assert not {name for name in imports(path) if name.split(".")[:2] == ["kelpfront", "cli"]}
    if part in ("cli", "lab", "__init__", "__main__"):
        return
    allowed = ALLOWED_IMPORTS.get(part, set()) | (
        IMPORTABLE_BY_ALL if part not in ("scheduling", "wire", "simhost") else set()
    )
    for name in imports(path):
        if not name.startswith("kelpfront."):
            continue
        # `scheduling` is checked module by module, because every part may import only its interface.
        depth = 3 if name.startswith("kelpfront.scheduling.") else 2
        module = ".".join(name.split(".")[:depth])
        assert module in allowed or module.split(".")[1] == part, f"{path.name} imports {name}"


def test_modules_have_no_circular_imports() -> None:
    """Guards against import cycles, including those through imports for type checking only."""
    dotted = {".".join(path.relative_to(ROOT.parent).with_suffix("").parts): path for path in modules()}
    files = {name.removesuffix(".__init__"): path for name, path in dotted.items()}
    graph: dict[str, set[str]] = {}
    for name, path in files.items():
        imported = imports(path)
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.ImportFrom) and node.module
            ):  # resolves the submodule imported from a package
                imported.discard(node.module)
                candidates = (f"{node.module}.{alias.name}" for alias in node.names)
                imported |= {one if one in files else node.module for one in candidates}
        graph[name] = (imported & set(files)) - {name}
    graphlib.TopologicalSorter(graph).prepare()  # CycleError names the cycle


def test_each_listed_pure_file_exists() -> None:
    """Guards against a renamed file that is silently no longer checked."""
    for part, names in PURE_FILES.items():
        assert not names - {path.stem for path in (ROOT / part).rglob("*.py")}


@pytest.mark.parametrize("path", modules(), ids=lambda path: str(path.relative_to(ROOT)))
def test_pure_module_does_no_io_and_reads_no_clock(path: Path) -> None:
    part = part_of(path)
    pure = part in PURE_PARTS or path.stem in PURE_FILES.get(part, ())
    is_inventory_reader = path.name == "read.py" and part == "inventory"
    if pure and not is_inventory_reader:
        assert not {name.split(".")[0] for name in imports(path)} & IO_AND_CLOCK_MODULES


def test_simulator_adapter_needs_only_the_standard_library() -> None:
    code = (
        "import sys, kelpfront.simhost\n"
        "known = set(sys.stdlib_module_names) | {'kelpfront', '__main__'}\n"
        "third = {m.split('.')[0] for m in sys.modules} - known\n"
        "third = {m for m in third if not m.startswith('_') and getattr(sys.modules[m], '__file__', None)}\n"
        "print(sorted(third))"
    )
    result = subprocess.run([sys.executable, "-I", "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.strip() in ("[]", "['sitecustomize']")


def test_platform_placer_loads_only_the_packages_it_needs() -> None:
    code = (
        "import sys, kelpfront.platform.__main__\n"
        "print(*sorted({m.split('.')[1] for m in sys.modules if m.startswith('kelpfront.')}))"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    expected = {"platform", "scheduling", "wire", "http", "clock", "backoff", "logs", "timers"}
    assert set(result.stdout.split()) == expected
