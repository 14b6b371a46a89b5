"""The data of the capacity page: sizes, states, figures and needs, checked. Pure."""

from __future__ import annotations

import msgspec


class CapacityError(ValueError):
    """Data that cannot be summed; the message names the entry."""


class Size(msgspec.Struct, forbid_unknown_fields=True):
    """A number, or the product of `times` over that of `over`, and the sizes of `plus` added."""

    value: float | None = None
    times: list[str] = []
    over: list[str] = []
    plus: list[str] = []
    unit: str = ""
    given_by: str = ""  # SIZES.md, code, guess, or how it is derived
    code: str = ""  # module:NAME, where the code holds it
    code_factor: float = 1.0


class State(msgspec.Struct, forbid_unknown_fields=True):
    """What a table has a column for."""

    name: str
    title: str
    why: str
    sets: dict[str, Size] = {}


class Source(msgspec.Struct, forbid_unknown_fields=True):
    """Where a figure may come from; the first source that is there counts.

    `scale` and `core` are sweeps of lab fleet scale and lab core-cost. `runs` is a figure of single runs by a
    placer's own tasks, with the sizes of `at`, in which each machine holds tasks of each placer: a sweep of
    tasks goes through fleets in which most machines hold none. `messages` are bytes by the encoder, `plain`
    is counted from the protocol itself (two messages for one test), `published` and `guess` say so.
    """

    scale: str = ""
    of: str = "placer"
    core: str = ""
    runs: str = ""
    at: dict[str, float] = {}
    sweep: str = ""
    own: bool = False  # the sweep's size is over the fleet, the figure's is that of one placer
    factor: float = 1.0
    slope_only: bool = False
    least: float = 0.0  # of the sweep's size: points below it are of another kind
    row: list[int] = []  # machines and tasks of the one point that is meant
    resident: bool = False
    messages: dict[str, float] = {}
    intercept_messages: dict[str, float] = {}
    plain: list[float] = []  # intercept and slope
    published: str = ""
    guess: str = ""


class Figure(msgspec.Struct, forbid_unknown_fields=True):
    """One line of what a role needs. `beside`: it counts from where that figure's sweep held its size."""

    id: str
    role: str
    quantity: str
    what: str
    unit: str
    size: str
    sources: list[Source]
    would: str  # what would measure it
    jobs: bool = False  # work on jobs, which only the second reading of 'for control' counts
    beside: str = ""
    replaced_by: str = ""  # a figure that holds it already where that one is measured


class Need(msgspec.Struct, forbid_unknown_fields=True):
    """A row of the ledger: a sum or a size in a state, against a budget."""

    row: str
    what: str
    mechanism: list[str]  # paths of modules; empty: missing
    unit: str = ""
    state: str = "peak"
    role: str = ""
    quantity: str = ""
    reading: str = "control"
    given_up: str = ""  # or of a failure in the scale runs: the tasks that were given up
    figures: list[str] = []  # a part of a role's quantity, by ids
    size: str = ""  # instead of both
    known: str = ""  # or of a failure in the scale runs: how long the last owner waited, in seconds
    budget: str = ""  # a size
    missing: str = ""  # what there is not, and the issue that has it
    would: str = ""


class SizeRow(msgspec.Struct, forbid_unknown_fields=True):
    """A row of SIZES.md, word for word."""

    what: str
    size: str


class Book(msgspec.Struct, forbid_unknown_fields=True):
    """All of docs/capacity/capacity.json."""

    rows: list[SizeRow]
    sizes: dict[str, Size]
    states: list[State]
    roles: dict[str, str]
    quantities: dict[str, str]
    figures: list[Figure]
    needs: list[Need]


def book_of(raw: bytes) -> Book:
    """The data, checked; CapacityError names what is wrong."""
    try:
        book = msgspec.json.decode(raw, type=Book)
    except msgspec.DecodeError as error:
        raise CapacityError(str(error)) from None
    known = set(book.sizes)
    names = [figure.id for figure in book.figures]
    if len(set(names)) != len(names):
        raise CapacityError(
            f"figures: an id twice: {sorted(one for one in names if names.count(one) > 1)[0]}"
        )
    for figure in book.figures:
        if figure.size and figure.size not in known:
            raise CapacityError(f"{figure.id}: size: {figure.size} is none of the sizes")
        if figure.role not in book.roles or figure.quantity not in book.quantities:
            raise CapacityError(f"{figure.id}: {figure.role}, {figure.quantity}: no such role or quantity")
        for other in (figure.beside, figure.replaced_by):
            if other and other not in names:
                raise CapacityError(f"{figure.id}: {other} is no figure")
    states = {state.name for state in book.states}
    rows = {row.what for row in book.rows}
    for need in book.needs:
        if need.row not in rows:
            raise CapacityError(f"{need.what}: {need.row!r} is no row of SIZES.md")
        if wrong := set(need.figures) - set(names):
            raise CapacityError(f"{need.what}: {min(wrong)} is no figure")
        if need.state not in states:
            raise CapacityError(f"{need.what}: {need.state} is no state")
        if not need.mechanism and not need.missing:
            raise CapacityError(f"{need.what}: a mechanism or what is missing is wanted")
    return book
