"""Identification of processes, and the search for descendants of a process."""

from __future__ import annotations

import os

from kelpfront.agent.process import (
    ProcessIdentity,
    ProcessStat,
    identify,
    is_same_running_process,
    parse_stat,
    read_boot_id,
    select_descendants,
)


def test_a_process_is_identified_by_pid_start_time_and_boot() -> None:
    identity = ProcessIdentity(70, 1000, "a")
    assert is_same_running_process(identity, "a", ProcessStat(70, "S", 1, 70, 1000))
    assert not is_same_running_process(identity, "a", None)
    assert not is_same_running_process(identity, "a", ProcessStat(70, "S", 1, 70, 1001)), "a reused pid"
    assert not is_same_running_process(identity, "b", ProcessStat(70, "S", 1, 70, 1000)), "another boot"
    assert not is_same_running_process(identity, "a", ProcessStat(70, "Z", 1, 70, 1000)), "a zombie"
    own_identity = identify(os.getpid(), read_boot_id())
    assert own_identity is not None
    assert own_identity.pid == os.getpid()


def test_a_program_name_with_spaces_and_parentheses_is_parsed() -> None:
    line = "70 (a) R 1 2 (3) S 5 70 70 0 -1 0 0 0 0 0 1 2 3 4 20 0 1 0 424242 1 1"
    assert parse_stat(70, line) == ProcessStat(70, "S", 5, 70, 424242)


def test_descendants_of_a_process_never_include_the_whole_host() -> None:
    host = [
        ProcessStat(1, "S", 0, 1, 0),
        ProcessStat(2, "S", 0, 0, 0),
        ProcessStat(10, "S", 1, 10, 5),
        ProcessStat(11, "S", 10, 11, 6),
        ProcessStat(12, "S", 11, 11, 7),
        ProcessStat(13, "Z", 11, 11, 8),
        ProcessStat(14, "S", 1, 11, 9),  # reparented to init: found only by its session
        ProcessStat(15, "S", 14, 15, 9),
        ProcessStat(99, "S", 1, 99, 9),
    ]
    assert sorted(select_descendants(host, 10)) == [11, 12]
    assert sorted(select_descendants(host, None, frozenset({11}))) == [11, 12, 14, 15]
    for root in (None, 0, 1, -1):
        assert select_descendants(host, root) == []
