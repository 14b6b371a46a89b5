"""Reading CSV and YAML inventories: accepted variants of the formats, and the problems that are reported."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.inventory import Inventory, InventoryError, KindSize, read_inventory
from kelpfront.inventory.builder import InventoryBuilder
from kelpfront.inventory.csv_reader import read_csv
from kelpfront.inventory.yaml_reader import read_yaml

KINDS = {"small": KindSize(24, 48), "large": KindSize(48, 96)}


def read_text(text: str, form: str = "csv", rooms: tuple[str, ...] = ()) -> tuple[Inventory, list[str]]:
    builder = InventoryBuilder(f"hosts.{form}", KINDS, frozenset(rooms))
    (read_csv if form == "csv" else read_yaml)(text, builder)
    return builder.finish(), [str(warning) for warning in builder.problems.warnings]


def problems_of(text: str, form: str = "csv", rooms: tuple[str, ...] = ()) -> list[str]:
    with pytest.raises(InventoryError) as error:
        read_text(text, form, rooms)
    return [str(problem) for problem in error.value.problems]


# ---- CSV --------------------------------------------------------------------------------------------------

TWO_HOSTS = """host,kind,rack,room
n01.example.org,small,r1,east
n02.example.org,large,r2,west
"""


def test_csv_hosts_get_the_sizes_of_their_kinds_and_default_addresses() -> None:
    inventory, warnings = read_text(TWO_HOSTS)
    assert warnings == []
    assert list(inventory.hosts) == ["n01.example.org", "n02.example.org"]
    host = inventory.hosts["n02.example.org"]
    assert (host.kind, host.rack, host.room, host.cores, host.memory) == ("large", "r2", "west", 48, 96)
    assert host.address == "http://n02.example.org:8141"


def test_csv_comments_column_aliases_quotes_and_semicolons_are_accepted() -> None:
    text = (
        "# kept by hand\r\n\r\n"
        'Hostname; Type ;"Cell";Zone;CPUs;URL;Serial\r\n'
        '"n1" ; small;"r;1"; east ;24.0;10.0.0.1:9001/a/;X1\r\n'
        '  # an old one\r\nn2;"large";"r ""two""";east;;http://10.0.0.1:9002;\r\n'
    )
    inventory, warnings = read_text(text)
    assert [(h.name, h.rack, h.room, h.address) for h in inventory.hosts.values()] == [
        ("n1", "r;1", "east", "http://10.0.0.1:9001/a"),
        ("n2", 'r "two"', "east", "http://10.0.0.1:9002"),
    ]
    assert warnings == ["hosts.csv:3:38: column 'Serial' is not used"]


@pytest.mark.parametrize(
    ("rows", "message"),
    [
        ("n3,small,r1,east", "hosts.csv:4:17: the last line has no line ending"),
        ("n3,small,r1\n", "hosts.csv:4:1: n3: 3 fields, expected 4; the file may be truncated here"),
        ("n3,small,r1,east,more\n", "n3: 5 fields, expected 4; is there an extra separator?"),
        ('n3,"small,r1,east\n', "hosts.csv:4:1: invalid CSV"),
        ('n3,sm"all,r1,east\nn4,x', "invalid CSV"),
        ("N01.example.org.,small,r1,east\n", "duplicate host; first defined as n01.example.org in line 2"),
        ("n3,medium,r1,east\n", "hosts.csv:4:4: n3: unknown kind 'medium'; the settings have small, large"),
        ("n3,small,r1,East\n", "hosts.csv:4:13: n3: room 'East' is spelled 'east' in line 2"),
        ("n3,small,r-1,east\n", "n3: rack 'r-1' is spelled 'r1' in line 2"),
        ("n3,small,,east\n", "n3: rack is missing"),
        (",small,r1,east\n", "hosts.csv:4:1: the host name is missing"),
        ("n_3!,small,r1,east\n", "n_3!: is not a valid host name"),
        ("n3,small,r1,north\n", "unknown room 'north'; the settings have east, west"),
    ],
)
def test_csv_problems_name_the_line_column_and_host(rows: str, message: str) -> None:
    found = problems_of(TWO_HOSTS + rows, rooms=("east", "west"))
    assert any(message in problem for problem in found), found


@pytest.mark.parametrize(
    ("row", "message"),
    [
        ("n1,small,r1,east,-24,48,", "n1: cores '-24' is not a number above 0"),
        ("n1,small,r1,east,nan,48,", "n1: cores 'nan' is not a number above 0"),
        ("n1,small,r1,east,24,64,", "n1: memory 64 does not match kind small, which has 48"),
        ("n1,small,r1,east,24,lots,", "n1: memory 'lots' is not a number above 0"),
        ("n1,small,r1,east,,,ftp://h:1", "n1: address 'ftp://h:1' is not HOST:PORT"),
        ("n1,small,r1,east,,,h:99999", "n1: address 'h:99999' is not HOST:PORT"),
        (
            "n1,small,r1,east,,,h:1\nn2,small,r1,east,,,http://H:1/",
            "n2: has the same address as n1 in line 2",
        ),
    ],
)
def test_invalid_sizes_and_addresses_are_reported(row: str, message: str) -> None:
    found = problems_of(f"host,kind,rack,room,cores,memory,address\n{row}\n")
    assert any(message in problem for problem in found), found


def test_missing_duplicate_and_unknown_columns_are_reported() -> None:
    assert problems_of("host,kind,rack\nn1,small,r1\n") == [
        "hosts.csv:1:1: column room is missing; required: host, kind, rack, room"
    ]
    assert "column rack is duplicated" in problems_of("host,kind,rack,room,cell\nn1,small,r1,e,r1\n")[0]
    assert read_text("host,kind,rack,room,adress\nn1,small,r1,e,x\n")[1] == [
        "hosts.csv:1:21: column 'adress' is not used; did you mean address?"
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [("", "is empty"), ("# nothing\n", "is empty"), (TWO_HOSTS.split("\n")[0] + "\n", "contains no hosts")],
)
def test_files_without_hosts_are_rejected(text: str, message: str) -> None:
    assert any(message in problem for problem in problems_of(text))


def test_all_problems_are_reported_at_once_and_their_number_is_bounded() -> None:
    rows = "".join(f"n{n},medium,,east\n" for n in range(300))
    found = problems_of("host,kind,rack,room\n" + rows)
    assert len(found) == 201
    assert found[-1].endswith("and 400 more problems")


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.integers(1, 400))
def test_a_truncated_file_is_rejected_unless_only_complete_lines_are_left(cut: int) -> None:
    """Truncation within a line is always detected; truncation between lines leaves only complete hosts."""
    header = "host,kind,rack,room,address\n"
    text = header + "".join(f"n{n:02},small,r{n % 3},east,10.0.0.{n}:9000\n" for n in range(12))
    truncated = text[:cut]
    if truncated.endswith("\n") and len(truncated) > len(header):
        assert len(read_text(truncated)[0].hosts) == truncated.count("\n") - 1
    else:
        assert problems_of(truncated)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.text(alphabet='ab",;\n\r\t#:[]{}-& *', max_size=80), st.sampled_from(["csv", "yaml"]))
def test_any_text_is_read_or_raises_an_inventory_error(text: str, form: str) -> None:
    try:
        read_text(text, form)
    except InventoryError as error:
        problems = error.problems
    else:
        return
    assert problems


# ---- YAML -------------------------------------------------------------------------------------------------

NESTED_GROUPS = """\
# as the configuration tool keeps it
all:
  vars:
    kind: small
    ansible_user: ops
  children:
    east:
      vars: {room: no, rack: 012}
      hosts:
        n[01:03].example.org:
        n09.example.org:
          kind: large
          ansible_host: 10.0.0.9:9000
    west:
      vars: &west
        room: west
      children:
        west_rack:
          vars:
            <<: *west
            rack: r7
          hosts:
            m[a:c:2]: {kelpfront_port: 9100}
"""


def test_yaml_hosts_inherit_group_variables_and_ranges_expand_to_hosts() -> None:
    inventory, _ = read_text(NESTED_GROUPS, "yaml")
    hosts = inventory.hosts
    assert list(hosts) == [
        "n01.example.org",
        "n02.example.org",
        "n03.example.org",
        "n09.example.org",
        "ma",
        "mc",
    ]
    first = hosts["n01.example.org"]
    assert (first.kind, first.room, first.rack) == ("small", "no", "012"), (
        "scalars are read as written, not as YAML types"
    )
    assert (hosts["n09.example.org"].kind, hosts["n09.example.org"].address) == (
        "large",
        "http://10.0.0.9:9000",
    )
    assert (hosts["mc"].room, hosts["mc"].rack, hosts["mc"].address) == ("west", "r7", "http://mc:9100")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("all:\n  hosts:\n    n1: {kind: small", "invalid YAML"),
        ("all:\n  hosts:\n    n1: {kind: small, rack: r, room: e}", "the last line has no line ending"),
        ("all:\n\thosts:\n", "hosts.yaml:2:1: invalid YAML"),
        ("- n1\n", "the file: expected a mapping"),
        ("all:\n  hosts:\n    - n1\n", "hosts of all: expected a mapping"),
        ("all:\n  host:\n    n1:\n", "group all: unknown key 'host'; expected one of hosts, children, vars"),
        (
            "a:\n  hosts:\n    n1: {kind: small, rack: r, room: e}\n    n1: {kind: large}\n",
            "hosts.yaml:4:5: n1: duplicate key 'n1' in hosts of a; first in line 3",
        ),
        (
            "a: {vars: {room: e, rack: r, kind: small}, hosts: {n1: }}\n"
            "b: {vars: {room: f}, hosts: {n1: }}\n",
            "n1: room is set to 'f' by group b and to 'e' by group a in line 1",
        ),
        ("a: {hosts: {n1: {kind: small, rack: r}}}\n", "n1: room is missing"),
        ("a: {hosts: {n1: {kind: small, rack: r, room: '{{ site }}'}}}\n", "templates are not supported"),
        ("a: {hosts: {n1: {kind: [small], rack: r, room: e}}}\n", "kind: expected a single value"),
        ("a: {hosts: {'n[5:1]': }}\n", "the range ends before it begins"),
        ("a: {hosts: {'n[1:999999]': }}\n", "more than 100000 hosts"),
        ("a: {hosts: {'n[1:999][1:999]': }}\n", "more than 100000 hosts"),
        ("a: {hosts: {'n[1-5]': }}\n", "expected a range as [FIRST:LAST]"),
        ("a: &a\n  children:\n    b: *a\n", "groups nested too deeply"),
        ("", "is empty"),
    ],
)
def test_yaml_problems_are_reported(text: str, message: str) -> None:
    found = problems_of(text, "yaml")
    assert any(message in problem for problem in found), found


def test_expansion_of_nested_yaml_aliases_is_bounded() -> None:
    """Each level refers to the one before it twice: walking all of them would take exponential time."""
    levels = "".join(f"g{n}: &g{n} {{children: {{a: *g{n - 1}, b: *g{n - 1}}}}}\n" for n in range(1, 40))
    found = problems_of("g0: &g0 {hosts: {n1: }}\n" + levels, "yaml")
    assert any("too many groups, or groups nested too deeply" in problem for problem in found)


# ---- Files ------------------------------------------------------------------------------------------------


def test_unreadable_files_are_rejected_and_a_byte_order_mark_is_accepted(tmp_path: Path) -> None:
    for name, data, message in (
        ("a.txt", b"x", "expected one of .csv, .yaml, .yml"),
        ("b.csv", b"host\xff\n", "invalid UTF-8 at byte 4"),
        ("c.csv", b"host\0\n", "contains a NUL character"),
    ):
        (tmp_path / name).write_bytes(data)
        with pytest.raises(InventoryError, match=message):
            read_inventory(tmp_path / name, KINDS)
    with pytest.raises(InventoryError, match="No such file"):
        read_inventory(tmp_path / "none.csv", KINDS)
    (tmp_path / "d.csv").write_bytes(b"\xef\xbb\xbf" + TWO_HOSTS.encode())
    inventory, warnings = read_inventory(tmp_path / "d.csv", KINDS)
    assert (len(inventory.hosts), warnings) == (2, [])
