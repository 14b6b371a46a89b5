"""The codec of hellos and digests, and the membership views that they refer to."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kelpfront.failure_detection import digest
from kelpfront.failure_detection.digest import Digest, DigestError, DigestHeader, Hello, Section
from kelpfront.failure_detection.membership import membership_views

unsigned_64 = st.integers(0, 2**64 - 1)
unsigned_32 = st.integers(0, 2**32 - 1)
clocks = st.integers(-(2**63), 2**63 - 1)
hellos = st.builds(Hello, unsigned_64, clocks)
headers = st.builds(DigestHeader, unsigned_64, unsigned_32, hellos, clocks, clocks)
sections = st.integers(1, 200).flatmap(
    lambda count: st.builds(
        Section, unsigned_32, st.just(count), st.integers(0, 2**count - 1), st.integers(0, 2**count - 1)
    )
)


@given(headers, st.lists(sections, min_size=1, max_size=40))
def test_encoded_digests_decode_to_the_same_values_and_fit_datagrams(
    header: DigestHeader, sent: list[Section]
) -> None:
    received: list[Section] = []
    for group in digest.group_by_datagram([digest.pack_section(section) for section in sent]):
        data = digest.pack_digest(header, group)
        assert len(data) <= digest.MAX_DATAGRAM_BYTES
        decoded = digest.unpack(data)
        assert isinstance(decoded, Digest)
        assert (decoded.incarnation, decoded.sequence) == (header.incarnation, header.sequence)
        assert decoded.hello == header.hello
        assert decoded.hello_received_at_ms == header.hello_received_at_ms
        assert decoded.checked_since_ms == header.checked_since_ms
        received += decoded.sections
    assert received == sent
    assert digest.unpack(digest.pack_hello(header.hello)) == header.hello


@given(st.binary(max_size=80), st.integers(0, 120), st.integers(0, 255))
def test_any_bytes_are_decoded_or_raise_a_digest_error(noise: bytes, position: int, value: int) -> None:
    header = DigestHeader(1, 2, Hello(3, 4), 5, 6)
    complete = digest.pack_digest(header, [digest.pack_section(Section(7, 12, 5, 9))])
    corrupted = complete[:position] + bytes([value]) + complete[position + 1 :]
    truncated = complete[:position]
    for data in (noise, b"KL\x01\x02" + noise, corrupted, truncated, complete + noise[:1]):
        try:
            digest.unpack(data)
        except DigestError:
            continue


def test_a_large_zone_has_several_views_whose_sections_fit_a_datagram() -> None:
    views = membership_views({1: range(3_000), 0: [9, 4]})
    sizes = [(view.zone, len(view.machines)) for view in views]
    assert sizes == [(0, 2), (1, 1_024), (1, 1_024), (1, 952)]
    assert views[0].machines == (4, 9)
    packed = [digest.pack_section(Section(1, len(view.machines), 1, 1)) for view in views]
    assert all(len(section) < 300 for section in packed)
