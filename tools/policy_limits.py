"""Checks that deploy/balancer.toml lists all files of `kelpfront/scheduling`, and checks those that it lists.

Files with scheduling decisions are listed under `policy`; the files of the interface (settings, events,
actions) have none and may be listed under `node` instead. Lines and imports of all these files are checked.
"""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path

MAX_COLUMNS = 110
ROOT = Path(__file__).parent.parent
SCHEDULING_FOLDER = ROOT / "kelpfront" / "scheduling"


def unlisted_files(deploy: dict[str, list[str]]) -> list[str]:
    """Return a finding for each file of the scheduling package that the deploy file does not list."""
    listed = {*deploy["policy"], *deploy["node"]}
    files = sorted(
        str(path.relative_to(ROOT)) for path in SCHEDULING_FOLDER.glob("*.py") if path.stat().st_size
    )
    return [f"{name}: not listed in deploy/balancer.toml" for name in files if name not in listed]


def long_lines(path: Path) -> list[str]:
    """Return a finding for each line of a file that is too long."""
    lines = path.read_text().splitlines()
    name = path.relative_to(ROOT)
    return [
        f"{name}:{number}: over {MAX_COLUMNS} characters"
        for number, line in enumerate(lines, 1)
        if len(line) > MAX_COLUMNS
    ]


def third_party_imports(path: Path) -> list[str]:
    """Return a finding for each import that is neither of the standard library nor of the project."""
    findings = []
    for node in ast.walk(ast.parse(path.read_text())):
        names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
        packages = {name.split(".")[0] for name in names}
        findings += [
            f"{path.relative_to(ROOT)}:{node.lineno}: imports {package}"
            for package in sorted(packages - {"kelpfront"} - sys.stdlib_module_names)
        ]
    return findings


def main() -> int:
    """Print all findings; return 1 if there are any, else 0."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    policy_files = {ROOT / name for name in deploy["policy"]}
    findings = unlisted_files(deploy)
    for path in sorted(policy_files | set(SCHEDULING_FOLDER.glob("*.py"))):
        findings += long_lines(path) + third_party_imports(path)
    print("\n".join([*findings, f"{len(policy_files)} policy files, {len(findings)} findings"]))
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
