"""The host of the schedulers, run as the process that the simulator starts."""

from __future__ import annotations

import struct
import subprocess
import sys

import frames

MACHINE = 0x0A0B0C0D << 16 | 8080
START = frames.batch(
    1,
    1000.0,
    frames.instance_started(3),
    frames.endpoint_list(0, (MACHINE, 1, 20.0)),
    frames.list_update(3, 1, 0),
)


def run_host(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "kelpfront.simhost"], input=data, capture_output=True, timeout=30, check=False
    )


def split_replies(output: bytes) -> list[bytes]:
    frames_found = []
    while output:
        (length,) = struct.unpack_from(">I", output)
        frames_found.append(output[:length])
        output = output[length:]
    return frames_found


def test_a_task_is_offered_to_the_machine_in_the_endpoint_list() -> None:
    result = run_host(START + frames.batch(2, 1010.0, frames.task_arrived(3, 41)) + frames.batch(3, 1012.0))
    assert (result.returncode, result.stderr) == (0, b"")
    _, second, third = split_replies(result.stdout)
    assert struct.pack(">BIQ", 8, 3, 41) in second
    assert third == struct.pack(">III", 12, 0, 3)


def test_empty_input_ends_with_exit_code_0_and_no_output() -> None:
    result = run_host(b"")
    assert (result.returncode, result.stdout, result.stderr) == (0, b"", b"")


def test_a_malformed_frame_causes_one_line_on_standard_error_and_a_failure() -> None:
    for malformed in (b"\x00\x00", struct.pack(">I", 5), frames.batch(2, 1.0, b"\xee"), START[:-3]):
        result = run_host(START + malformed)
        assert result.returncode != 0
        assert len(split_replies(result.stdout)) == 1
        assert result.stderr.count(b"\n") == 1
        assert b"Traceback" not in result.stderr


def test_invalid_settings_are_reported_as_the_fault_action() -> None:
    result = run_host(frames.batch(1, 1.0, frames.instance_started(3, frames.start_record(Siblings=0))))
    (reply,) = split_replies(result.stdout)
    assert reply[12] == 5
    assert b"Siblings: must be at least 1" in reply


def test_instances_are_isolated_from_each_other() -> None:
    other = frames.instance_started(4, frames.start_record(Me=0))
    alone = run_host(START + frames.batch(2, 1010.0, frames.task_arrived(3, 41)))
    both = run_host(
        START + frames.batch(2, 1010.0, other, frames.task_arrived(4, 77), frames.task_arrived(3, 41))
    )
    bound = struct.pack(">BIQ", 8, 3, 41)
    assert bound in split_replies(both.stdout)[1]
    assert split_replies(alone.stdout)[1].split(bound)[1] == split_replies(both.stdout)[1].split(bound)[1]
