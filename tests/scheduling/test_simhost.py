"""The host, as the process that the simulator starts."""

from __future__ import annotations

import struct
import subprocess
import sys

import frames

MACHINE = 0x0A0B0C0D << 16 | 8080
START = frames.batch(
    1, 1000.0, frames.born(3), frames.inventory(0, (MACHINE, 1, 20.0)), frames.roster(3, 1, 0)
)


def host(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "kelpfront.simhost"], input=data, capture_output=True, timeout=30, check=False
    )


def replies(output: bytes) -> list[bytes]:
    found = []
    while output:
        (length,) = struct.unpack_from(">I", output)
        found.append(output[:length])
        output = output[length:]
    return found


def test_a_task_is_offered_to_the_machine_of_the_list() -> None:
    done = host(START + frames.batch(2, 1010.0, frames.task(3, 41)) + frames.batch(3, 1012.0))
    assert (done.returncode, done.stderr) == (0, b"")
    _, second, third = replies(done.stdout)
    assert struct.pack(">BIQ", 8, 3, 41) in second
    assert third == struct.pack(">III", 12, 0, 3)


def test_no_input_is_a_plain_end() -> None:
    done = host(b"")
    assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")


def test_a_malformed_frame_is_one_line_and_a_failure() -> None:
    for malformed in (b"\x00\x00", struct.pack(">I", 5), frames.batch(2, 1.0, b"\xee"), START[:-3]):
        done = host(START + malformed)
        assert done.returncode != 0
        assert len(replies(done.stdout)) == 1
        assert done.stderr.count(b"\n") == 1
        assert b"Traceback" not in done.stderr


def test_impossible_settings_become_the_fault_action_with_their_text() -> None:
    done = host(frames.batch(1, 1.0, frames.born(3, frames.info(Siblings=0))))
    (reply,) = replies(done.stdout)
    assert reply[12] == 5
    assert b"Siblings: must be at least 1" in reply


def test_instances_know_nothing_of_each_other() -> None:
    other = frames.born(4, frames.info(Me=0))
    alone = host(START + frames.batch(2, 1010.0, frames.task(3, 41)))
    both = host(START + frames.batch(2, 1010.0, other, frames.task(4, 77), frames.task(3, 41)))
    bound = struct.pack(">BIQ", 8, 3, 41)
    assert bound in replies(both.stdout)[1]
    assert replies(alone.stdout)[1].split(bound)[1] == replies(both.stdout)[1].split(bound)[1]
