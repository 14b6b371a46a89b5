"""The simulator's wire: frames to events of schedulers, actions to frames. It decides nothing.

The wire's own words stay in this package; behind it the names of `kelpfront.scheduling` are used.
"""

from kelpfront.wire.decoder import Decoder, read_frames
from kelpfront.wire.encoder import encode_reply
from kelpfront.wire.errors import WireError
from kelpfront.wire.records import (
    Batch,
    HostAction,
    HostEvent,
    InstanceAction,
    InstanceEvent,
    InstanceFailed,
    InstanceStarted,
    InstanceStopped,
    InvalidSettings,
)
from kelpfront.wire.settings import settings_of

__all__ = [
    "Batch",
    "Decoder",
    "HostAction",
    "HostEvent",
    "InstanceAction",
    "InstanceEvent",
    "InstanceFailed",
    "InstanceStarted",
    "InstanceStopped",
    "InvalidSettings",
    "WireError",
    "encode_reply",
    "read_frames",
    "settings_of",
]
