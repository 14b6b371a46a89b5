"""Checks the limits of the decision module: the files under `policy` in deploy/balancer.toml."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path

MOST_LINES = 800
MOST_COLUMNS = 110


def main() -> int:
    root = Path(__file__).parent.parent
    files: list[str] = tomllib.loads((root / "deploy/balancer.toml").read_text())["policy"]
    lines = [
        (name, n, line) for name in files for n, line in enumerate((root / name).read_text().split("\n"), 1)
    ]
    count = len(lines) - len(files)  # what stands behind a file's last line feed is no line
    print(f"{', '.join(files)}: {count} lines ({MOST_LINES} at most)")
    long = [
        f"{name}:{n}: over {MOST_COLUMNS} characters" for name, n, line in lines if len(line) > MOST_COLUMNS
    ]
    print("\n".join(long), end="\n" if long else "")
    return 1 if long or count > MOST_LINES else 0


if __name__ == "__main__":
    sys.exit(main())
