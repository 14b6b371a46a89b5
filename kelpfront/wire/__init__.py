"""Codec of the simulator's protocol: decodes frames into scheduler events and encodes actions into frames.

The protocol's own names are confined to this package; all other code uses the names of
`kelpfront.scheduling`.
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
