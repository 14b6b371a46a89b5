"""What connections need to use the core: the core, the clock, and a way to carry out its intents."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kelpfront.platform.core import PlacerCore


class CoreAccess(msgspec.Struct, frozen=True):
    """Access of one placer's connections to its core.

    Attributes:
        core: receives messages and connection events.
        now: returns the time in Unix milliseconds.
        flush: carries out the core's intents; it must be called after each call of the core.
    """

    core: PlacerCore
    now: Callable[[], float]
    flush: Callable[[], None]
