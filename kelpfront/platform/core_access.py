"""What connections need of the core: the core itself, the time, and to have carried out what it wants."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kelpfront.platform.core import PlacerCore


class CoreAccess(msgspec.Struct, frozen=True):
    """The way of one placer's connections to its core.

    Attributes:
        core: takes what arrives.
        now: returns the time in Unix milliseconds.
        flush: has what the core wants carried out; called after each thing that was handed to the core.
    """

    core: PlacerCore
    now: Callable[[], float]
    flush: Callable[[], None]
