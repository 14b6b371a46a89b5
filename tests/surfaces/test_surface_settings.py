"""Every key of the settings files with its default, and what is read from it.

That the examples name every key and that a placer's is valid is in `tests/config`; what a
platform's configuration should not hold is in `tests/test_platform_settings.py`. Explanations, which are for
people, are not held. Golden files are rewritten as `surface_samples` says.
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
def test_settings_are_as_they_were(name: str) -> None:
    assert SAMPLES[name]() == golden(name)
