"""Codec of the datagrams between placers and failure detectors.

A placer subscribes by sending a hello with the time on its clock. A digest reports which machines answered a
health check that was sent at or after a given time on the detector's clock, and when a given hello arrived on
the same clock. From both times the receiver computes the time of the observations on its own clock
(`clock_offset`). Decoding is strict and bounded. Times are whole milliseconds.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass

from kelpfront.failure_detection.membership import MAX_VIEW_MEMBERS

MAX_DATAGRAM_BYTES = 1_200  # any path carries this size without fragmentation
_MAX_SECTIONS = 255  # the section count is encoded in one byte

_MAGIC = b"KL"
_VERSION = 1
_KIND_HELLO = 1
_KIND_DIGEST = 2
_FLAG_RECONNECTED = 1  # a second bitmap follows the first

_HEADER = struct.Struct(">2sBB")
_HELLO_BODY = struct.Struct(">Qq")
_DIGEST_BODY = struct.Struct(">QIQqqqB")
_SECTION_HEADER = struct.Struct(">IHB")


class DigestError(ValueError):
    """Raised for a datagram that is neither a complete hello nor a complete digest."""


@dataclass(frozen=True, slots=True)
class Hello:
    """A placer's subscription.

    Attributes:
        incarnation: different for each start of the placer.
        sent_at_ms: when the hello was sent, on the placer's clock.
    """

    incarnation: int
    sent_at_ms: int


@dataclass(frozen=True, slots=True)
class Section:
    """What a detector knows about one membership view. Bit positions are positions in the view.

    Attributes:
        answered: machines that answered a recent health check.
        reconnected: machines to which a new connection replaced an earlier one recently.
    """

    fingerprint: int
    member_count: int
    answered: int
    reconnected: int = 0


@dataclass(frozen=True, slots=True)
class DigestHeader:
    """The header of a digest. Times not otherwise stated are on the detector's clock.

    Attributes:
        incarnation: different for each start of the detector.
        sequence: increases within an incarnation.
        hello: the last hello from the placer that receives the digest.
        hello_received_at_ms: when that hello arrived.
        checked_since_ms: answered machines answered a check that was sent at this time or later.
    """

    incarnation: int
    sequence: int
    hello: Hello
    hello_received_at_ms: int
    checked_since_ms: int


@dataclass(frozen=True, slots=True)
class Digest(DigestHeader):
    """A decoded digest."""

    sections: tuple[Section, ...]


def pack_hello(hello: Hello) -> bytes:
    """Encode a hello as a datagram."""
    body = _HELLO_BODY.pack(hello.incarnation, hello.sent_at_ms)
    return _HEADER.pack(_MAGIC, _VERSION, _KIND_HELLO) + body


def pack_section(section: Section) -> bytes:
    """Encode one section. Its bytes are the same in the digests for all subscribers."""
    size = _bitmap_bytes(section.member_count)
    flags = _FLAG_RECONNECTED if section.reconnected else 0
    packed = _SECTION_HEADER.pack(section.fingerprint, section.member_count, flags)
    packed += section.answered.to_bytes(size)
    if section.reconnected:
        packed += section.reconnected.to_bytes(size)
    return packed


def group_by_datagram(sections: Sequence[bytes]) -> list[list[bytes]]:
    """Distribute packed sections, in this order, over as few datagrams as possible."""
    groups: list[list[bytes]] = []
    free_bytes = 0
    for section in sections:
        if len(section) > free_bytes or len(groups[-1]) == _MAX_SECTIONS:
            groups.append([])
            free_bytes = MAX_DATAGRAM_BYTES - _HEADER.size - _DIGEST_BODY.size
        groups[-1].append(section)
        free_bytes -= len(section)
    return groups


def pack_digest(header: DigestHeader, sections: Sequence[bytes]) -> bytes:
    """Encode a digest as a datagram, from a header and packed sections."""
    body = _DIGEST_BODY.pack(
        header.incarnation,
        header.sequence,
        header.hello.incarnation,
        header.hello.sent_at_ms,
        header.hello_received_at_ms,
        header.checked_since_ms,
        len(sections),
    )
    return _HEADER.pack(_MAGIC, _VERSION, _KIND_DIGEST) + body + b"".join(sections)


def unpack(data: bytes) -> Hello | Digest:
    """Decode one datagram. Raises DigestError if it is malformed, truncated or too long."""
    try:
        magic, version, kind = _HEADER.unpack_from(data)
        if (magic, version) != (_MAGIC, _VERSION):
            raise DigestError("unknown protocol or version")
        if kind == _KIND_HELLO and len(data) == _HEADER.size + _HELLO_BODY.size:
            return Hello(*_HELLO_BODY.unpack_from(data, _HEADER.size))
        if kind != _KIND_DIGEST:
            raise DigestError("neither a hello nor a digest")
        return _unpack_digest(data)
    except struct.error as error:
        raise DigestError("truncated") from error


def _unpack_digest(data: bytes) -> Digest:
    incarnation, sequence, hello_incarnation, hello_sent_at, received_at, checked_since, count = (
        _DIGEST_BODY.unpack_from(data, _HEADER.size)
    )
    sections = []
    offset = _HEADER.size + _DIGEST_BODY.size
    for _ in range(count):
        section, offset = _unpack_section(data, offset)
        sections.append(section)
    if offset != len(data):
        raise DigestError("bytes after the last section")
    hello = Hello(hello_incarnation, hello_sent_at)
    return Digest(incarnation, sequence, hello, received_at, checked_since, tuple(sections))


def _unpack_section(data: bytes, offset: int) -> tuple[Section, int]:
    """Decode the section at an offset; return it with the offset after it."""
    fingerprint, member_count, flags = _SECTION_HEADER.unpack_from(data, offset)
    if not 0 < member_count <= MAX_VIEW_MEMBERS:
        raise DigestError(f"expected a section of 1 to {MAX_VIEW_MEMBERS} machines, got {member_count}")
    if flags & ~_FLAG_RECONNECTED:
        raise DigestError(f"section with unknown flags: {flags}")
    offset += _SECTION_HEADER.size
    answered, offset = _unpack_bitmap(data, offset, member_count)
    reconnected = 0
    if flags & _FLAG_RECONNECTED:
        reconnected, offset = _unpack_bitmap(data, offset, member_count)
    return Section(fingerprint, member_count, answered, reconnected), offset


def _unpack_bitmap(data: bytes, offset: int, member_count: int) -> tuple[int, int]:
    """Decode the bitmap at an offset; return it with the offset after it."""
    end = offset + _bitmap_bytes(member_count)
    if end > len(data):
        raise DigestError("truncated")
    bitmap = int.from_bytes(data[offset:end])
    if bitmap >> member_count:
        raise DigestError(f"bits beyond the {member_count} machines of a section")
    return bitmap, end


def _bitmap_bytes(member_count: int) -> int:
    return (member_count + 7) // 8
