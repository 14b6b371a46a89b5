"""Reads a task's output from its files, which its supervisor may write and rotate at the same time."""

from __future__ import annotations

from pathlib import Path

from kelpfront.agent.task_folder import OUTPUT_FILE


def read_output(folder: Path, max_bytes: int) -> bytes:
    """Return the last `max_bytes` bytes of a task's output, across its rotated files."""
    parts: list[bytes] = []
    remaining = max_bytes
    for path in _newest_first(folder):
        if remaining <= 0:
            break
        try:
            part = _read_end(path, remaining)
        except OSError:  # a concurrent rotation has removed the file
            continue
        parts.append(part)
        remaining -= len(part)
    return b"".join(reversed(parts))


def _newest_first(folder: Path) -> list[Path]:
    rotated = [path for path in folder.glob(f"{OUTPUT_FILE}.*") if path.suffix[1:].isdigit()]
    rotated.sort(key=lambda path: int(path.suffix[1:]))
    return [folder / OUTPUT_FILE, *rotated]


def _read_end(path: Path, max_bytes: int) -> bytes:
    with path.open("rb") as file:
        size = file.seek(0, 2)
        file.seek(max(0, size - max_bytes))
        return file.read(max_bytes)
