"""Every key of the settings files with its default, and the value parsed from it.

`tests/config` checks that the examples name every key and that the placer's example is valid;
`tests/platform/test_platform_settings.py` tests invalid configurations of the platform. Explanations in the
examples are not compared. `surface_samples` explains how to rewrite the golden files.
"""

from __future__ import annotations

import pytest
from surface_golden import golden
from surface_samples import SAMPLES

NAMES = [
    "settings-keys.ini",
    "settings-read.json",
    "agent-settings-keys.ini",
    "agent-settings-read.json",
    "platform-config-full-read.json",
    "platform-config-least-read.json",
    "watch-config-read.json",
    "directory-read.json",
]


@pytest.mark.parametrize("name", NAMES)
def test_settings_match_the_golden_files(name: str) -> None:
    assert SAMPLES[name]() == golden(name)
