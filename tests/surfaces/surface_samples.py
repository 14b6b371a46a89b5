"""Samples of every external interface of the program, as bytes: what it serves, writes, sends and reads.

SAMPLES maps each golden file to the function that builds its sample. These functions are in the other
`surface_*` modules, the only ones that import internal names: a rename inside the program changes them, and
the golden files stay as they are. Parsed values are rendered by position, without their field names.

Only this command rewrites the golden files, never a test; review the changes with `git diff` afterwards:

    PYTHONPATH=tests .venv/bin/python tests/surfaces/surface_samples.py --write

Four golden files are inputs written by hand, which the command reads and does not change:
`platform-config-full.json`, `platform-config-least.json`, `drain.json` and `simulator-settings.json`.
"""

from __future__ import annotations

import shutil
import sys
from collections.abc import Callable
from pathlib import Path

from surface_folders import (
    AGENT_STATE,
    JOURNAL,
    agent_state_dump,
    agent_state_read,
    journal_read,
    write_agent_state,
    write_journal,
)
from surface_frames import (
    datagrams,
    datagrams_read,
    simulator_batch_hex,
    simulator_batch_read,
    simulator_replies,
)
from surface_golden import GOLDEN
from surface_machines import machine_grpc_messages, machine_messages
from surface_platform import (
    platform_dialogue,
    platform_words_read,
)
from surface_published import (
    agent_settings_keys,
    agent_settings_read,
    commands,
    descriptors,
    directory_read,
    discovery_documents,
    openapi,
    platform_config_full_read,
    platform_config_least_read,
    settings_keys,
    settings_read,
    watch_config_full_read,
)

# The sample of each golden file. A file that a later sample reads comes before that sample.
SAMPLES: dict[str, Callable[[], bytes]] = {
    "openapi.json": openapi,
    "discovery.json": discovery_documents,
    "descriptors.txt": descriptors,
    "settings-keys.ini": settings_keys,
    "settings-read.json": settings_read,
    "agent-settings-keys.ini": agent_settings_keys,
    "agent-settings-read.json": agent_settings_read,
    "platform-config-full-read.json": platform_config_full_read,
    "platform-config-least-read.json": platform_config_least_read,
    "watch-config-read.json": watch_config_full_read,
    "directory-read.json": directory_read,
    "commands.json": commands,
    "platform-dialogue.txt": platform_dialogue,
    "platform-words-read.json": platform_words_read,
    "machine-messages.txt": machine_messages,
    "machine-grpc-messages.hex": machine_grpc_messages,
    "simulator-batch.hex": simulator_batch_hex,
    "simulator-batch-read.json": simulator_batch_read,
    "simulator-replies.hex": simulator_replies,
    "datagrams.hex": datagrams,
    "datagrams-read.json": datagrams_read,
    "journal-read.json": journal_read,
    "agent-state-read.json": agent_state_read,
    "agent-state.sql": agent_state_dump,
}
FOLDERS: dict[Path, Callable[[Path], None]] = {JOURNAL: write_journal, AGENT_STATE: write_agent_state}


def write_all() -> None:
    for folder, write in FOLDERS.items():
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        write(folder)
    for name, sample in SAMPLES.items():
        (GOLDEN / name).write_bytes(sample())


if __name__ == "__main__":
    if sys.argv[1:] != ["--write"]:
        sys.exit("usage: surface_samples.py --write")
    write_all()
