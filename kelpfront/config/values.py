"""Types of the values in a settings file: how each is parsed from text, checked and formatted.

The types are metadata of the fields of the sections: pydantic parses values with them, and the commented
example describes them. The sections choose the type and the bounds of each key.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Annotated, Any, Generic, TypeVar

from pydantic import GetCoreSchemaHandler
from pydantic_core import core_schema

from kelpfront.units import format_duration, format_size, parse_duration, parse_size

ValueT = TypeVar("ValueT")

MAX_PORT = 65_535

_TRUE_TEXTS = ("yes", "true", "on")
_FALSE_TEXTS = ("no", "false", "off")


class ValueType(ABC, Generic[ValueT]):
    """Parses, describes and formats the value of a key."""

    @property
    @abstractmethod
    def allowed(self) -> str:
        """Description of the allowed values, for the author of the file."""

    @abstractmethod
    def parse(self, text: str) -> ValueT:
        """Return the value of a text that has no surrounding whitespace.

        Raises:
            ValueError: the text is not a value of this type, or is out of range.
        """

    def format(self, value: ValueT) -> str:
        """Return a text from which `parse` returns this value."""
        return str(value)

    def __get_pydantic_core_schema__(
        self, source: Any, handler: GetCoreSchemaHandler
    ) -> core_schema.CoreSchema:
        def parse_if_text(value: Any) -> Any:
            return self.parse(value.strip()) if isinstance(value, str) else value

        return core_schema.no_info_before_validator_function(parse_if_text, handler(source))


@dataclass(frozen=True)
class Duration(ValueType[float]):
    """A duration, written with its unit and stored in milliseconds; both bounds are inclusive."""

    minimum: str
    maximum: str

    @property
    def allowed(self) -> str:
        """The range, with the bounds as they are written in a file."""
        return f"a duration from {self.minimum} to {self.maximum}"

    def parse(self, text: str) -> float:
        """Return the milliseconds of a duration such as `700 ms`."""
        duration_ms = parse_duration(text)
        _check_range(text, duration_ms, parse_duration(self.minimum), parse_duration(self.maximum))
        return duration_ms

    def format(self, value: float) -> str:
        """Return a duration in milliseconds with its unit."""
        return format_duration(value)


@dataclass(frozen=True)
class Size(ValueType[int]):
    """An amount of memory, written with its unit and stored in bytes; both bounds are inclusive."""

    minimum: str
    maximum: str

    @property
    def allowed(self) -> str:
        """The range, with the bounds as they are written in a file."""
        return f"a size from {self.minimum} to {self.maximum}"

    def parse(self, text: str) -> int:
        """Return the bytes of a size such as `64 KiB`."""
        size_bytes = parse_size(text)
        _check_range(text, size_bytes, parse_size(self.minimum), parse_size(self.maximum))
        return size_bytes

    def format(self, value: int) -> str:
        """Return a size in bytes with its unit."""
        return format_size(value)


@dataclass(frozen=True)
class Number(ValueType[float]):
    """A number without a unit; both bounds are inclusive."""

    minimum: float
    maximum: float

    @property
    def allowed(self) -> str:
        """The range."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def parse(self, text: str) -> float:
        """Return the number that a text represents."""
        try:
            number = float(text)
        except ValueError as error:
            raise ValueError(f"{text!r} is not a number") from error
        _check_range(text, number, self.minimum, self.maximum)
        return number

    def format(self, value: float) -> str:
        """Return the number without trailing zeros."""
        return f"{value:g}"


@dataclass(frozen=True)
class Integer(ValueType[int]):
    """A whole number without a unit; both bounds are inclusive."""

    minimum: int
    maximum: int

    @property
    def allowed(self) -> str:
        """The range."""
        return f"a whole number from {self.minimum} to {self.maximum}"

    def parse(self, text: str) -> int:
        """Return the number that a text represents."""
        try:
            number = int(text)
        except ValueError as error:
            raise ValueError(f"{text!r} is not a whole number") from error
        _check_range(text, number, self.minimum, self.maximum)
        return number


def _check_range(text: str, value: float, minimum: float, maximum: float) -> None:
    in_range = minimum <= value <= maximum  # false for NaN too
    if not in_range:
        raise ValueError(f"{text!r} is out of range")


class _BooleanType(ValueType[bool]):
    """A boolean: yes or no, true or false, on or off."""

    @property
    def allowed(self) -> str:
        return "yes or no"

    def parse(self, text: str) -> bool:
        if text.lower() in _TRUE_TEXTS:
            return True
        if text.lower() in _FALSE_TEXTS:
            return False
        raise ValueError(f"{text!r} is neither yes nor no")

    def format(self, value: bool) -> str:  # noqa: FBT001 - the value of the key, as for every other type
        return "yes" if value else "no"


class _TextType(ValueType[str]):
    """A text that is not empty."""

    @property
    def allowed(self) -> str:
        return "text"

    def parse(self, text: str) -> str:
        if not text:
            raise ValueError("must not be empty")
        return text


class _NamesType(ValueType[tuple[str, ...]]):
    """A list of distinct names."""

    @property
    def allowed(self) -> str:
        return "distinct names, separated by commas"

    def parse(self, text: str) -> tuple[str, ...]:
        names = tuple(name.strip() for name in text.split(","))
        has_repeated_name = len(set(names)) < len(names)
        if has_repeated_name or not all(names):
            raise ValueError(f"{text!r} contains an empty or a repeated name")
        return names

    def format(self, value: tuple[str, ...]) -> str:
        return ", ".join(value)


class _AddressType(ValueType[str]):
    """The address on which a server listens."""

    @property
    def allowed(self) -> str:
        return "HOST:PORT; port 0 selects a free port"

    def parse(self, text: str) -> str:
        host, colon, port = text.rpartition(":")
        is_address = colon and host and _is_port(port)
        if not is_address:
            raise ValueError(f"{text!r} is not HOST:PORT")
        return text


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= MAX_PORT


Flag = Annotated[bool, _BooleanType()]
Text = Annotated[str, _TextType()]
Names = Annotated[tuple[str, ...], _NamesType()]
Address = Annotated[str, _AddressType()]
