"""Makes kelpfront/v1 from proto/, or with --check says whether it is fresh."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import grpc_tools
from grpc_tools import protoc

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "proto").rglob("*.proto"))
MADE = ROOT / "kelpfront" / "v1"
SUFFIXES = ("_pb2.py", "_pb2.pyi", "_pb2_grpc.py")


def make(into: Path) -> None:
    include = Path(grpc_tools.__file__).parent / "_proto"
    args = [
        "protoc",
        f"-I{ROOT / 'proto'}",
        f"-I{include}",
        f"--python_out={into}",
        f"--pyi_out={into}",
        f"--grpc_python_out={into}",
        *(str(path.relative_to(ROOT / "proto")) for path in SOURCES),
    ]
    if protoc.main(args) != 0:
        raise SystemExit("protoc failed")


def made_files(folder: Path) -> dict[str, str]:
    return {path.name: path.read_text() for path in folder.iterdir() if path.name.endswith(SUFFIXES)}


def main() -> int:
    if "--check" in sys.argv:
        with tempfile.TemporaryDirectory() as folder:
            make(Path(folder))
            fresh = made_files(Path(folder) / "kelpfront" / "v1") == made_files(MADE)
        if not fresh:
            print("kelpfront/v1 is not what proto/ makes: run `make proto`", file=sys.stderr)
        return 0 if fresh else 1
    make(ROOT)
    return 0


if __name__ == "__main__":
    sys.exit(main())
