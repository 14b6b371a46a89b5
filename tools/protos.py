"""Generates kelpfront/v1 from proto/; with --check, tests whether it is up to date.

The files in proto/ define the messages.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import grpc_tools
from grpc_tools import protoc

ROOT = Path(__file__).parent.parent
PROTO_FOLDER = ROOT / "proto"
GENERATED_FOLDER = ROOT / "kelpfront" / "v1"
GENERATED_SUFFIXES = ("_pb2.py", "_pb2.pyi", "_pb2_grpc.py")


def generate(output_folder: Path) -> None:
    """Generate the code of all messages and services in a folder.

    Raises:
        SystemExit: the compiler failed; it has printed its errors.
    """
    well_known_types = Path(grpc_tools.__file__).parent / "_proto"
    sources = sorted(PROTO_FOLDER.rglob("*.proto"))
    arguments = [
        "protoc",
        f"-I{PROTO_FOLDER}",
        f"-I{well_known_types}",
        f"--python_out={output_folder}",
        f"--pyi_out={output_folder}",
        f"--grpc_python_out={output_folder}",
        *(str(path.relative_to(PROTO_FOLDER)) for path in sources),
    ]
    if protoc.main(arguments) != 0:
        raise SystemExit("protoc failed")


def read_generated(folder: Path) -> dict[str, str]:
    """Return the generated files of a folder, by name."""
    paths = [path for path in folder.iterdir() if path.name.endswith(GENERATED_SUFFIXES)]
    return {path.name: path.read_text() for path in paths}


def is_up_to_date() -> bool:
    """Return whether the code equals what the compiler generates from proto/."""
    with tempfile.TemporaryDirectory() as folder:
        generate(Path(folder))
        generated = read_generated(Path(folder) / "kelpfront" / "v1")
    return generated == read_generated(GENERATED_FOLDER)


def main() -> int:
    """Run the tool and return its exit code."""
    if "--check" not in sys.argv:
        generate(ROOT)
        return 0
    if is_up_to_date():
        return 0
    print("kelpfront/v1 is out of date with proto/: run `make proto`", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
