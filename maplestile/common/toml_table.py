"""Reads the tables of TOML files field by field, with errors that name the field.

Used for the operator's file, the agent's file, fault schedules and experiments. A field that no method has
read is unknown, which is an error: `reject_unknown_fields` raises it.
"""

import contextlib
import ipaddress
from typing import Any

PORT_LIMIT = 1 << 16  # every port is below
NUMBER_LIMIT = 1e12  # every number in a file must be below


class ConfigError(Exception):
    """Raised when a configuration is invalid; the message names the field."""


class TomlTable:
    """A table of a TOML file; each method that reads a field removes it from `values`.

    `path` is the dotted name of the table ("" for the top level). `error` is the type of the errors that the
    methods raise; their message begins with the field: `net.loss: must be a number from 0 to 1`. A field
    without a default is required.
    """

    def __init__(self, values: Any, path: str, error: type[Exception] = ConfigError) -> None:
        """Copy the values. Raises `error` if they are not a table."""
        self.path = path
        self.error = error
        if not isinstance(values, dict):
            raise error(f"{path or 'file'}: must be a table")
        self.values = dict(values)

    # Errors.

    def field_path(self, name: str) -> str:
        """Return the dotted name of a field."""
        return f"{self.path}.{name}" if self.path else name

    def field_error(self, name: str, problem: str) -> Exception:
        """Create the error for a field, for the caller to raise."""
        return self.error(f"{self.field_path(name)}: {problem}")

    def reject_unknown_fields(self) -> None:
        """Raise an error if there are fields that have not been read, since they are unknown."""
        if self.values:
            raise self.field_error(next(iter(self.values)), "is not known here")

    # Strings.

    def text(self, name: str, default: str | None = None) -> str:
        """Read a string."""
        return str(self._take(name, (str,), "a text", default))

    def choice(self, name: str, choices: tuple[str, ...], default: str | None = None) -> str:
        """Read a string that is one of `choices`."""
        value = self.text(name, default)
        if value not in choices:
            raise self.field_error(name, f"must be one of {', '.join(choices)}")
        return value

    def address(self, name: str) -> str:
        """Read a `host:port`."""
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 <= int(port) < PORT_LIMIT:
            raise self.field_error(name, "must be host:port")
        return value

    def loopback(self, name: str) -> str:
        """Read a `host:port` whose host is a loopback IP address.

        Used for fronts whose clients may stop the service or suspend its runners.
        """
        value = self.address(name)
        with contextlib.suppress(ValueError):
            if ipaddress.ip_address(value.rpartition(":")[0]).is_loopback:
                return value
        raise self.field_error(name, "must be a loopback address")

    # Numbers and booleans.

    def number(
        self, name: str, default: float | None = None, minimum: float = 0.0, maximum: float | None = None
    ) -> float:
        """Read a number from `minimum` to `maximum`; None for no maximum but NUMBER_LIMIT."""
        value = float(self._take(name, (int, float), "a number", default))
        if not minimum <= value < NUMBER_LIMIT or (maximum is not None and value > maximum):
            raise self.field_error(name, _range(minimum, maximum))
        return value

    def integer(
        self, name: str, default: int | None = None, minimum: int = 0, maximum: int | None = None
    ) -> int:
        """Read an integer from `minimum` to `maximum`; None for no maximum."""
        value = int(self._take(name, (int,), "a whole number", default))
        if value < minimum or (maximum is not None and value > maximum):
            raise self.field_error(name, _range(minimum, maximum))
        return value

    def boolean(self, name: str, default: bool) -> bool:
        """Read a boolean."""
        return bool(self._take(name, (bool,), "true or false", default))

    # Lists of integers, such as the numbers of members.

    def indexes(self, name: str, below: int) -> tuple[int, ...]:
        """Read a non-empty list of integers from 0 to `below` - 1."""
        value = self._take(name, (list,), "a list", None)
        return self._indexes(name, value, below)

    def index_lists(self, name: str, below: int) -> tuple[tuple[int, ...], ...]:
        """Read a non-empty list of non-empty lists of integers from 0 to `below` - 1."""
        value = self._take(name, (list,), "a list of lists", None)
        if not value:
            raise self.field_error(name, "must not be empty")
        return tuple(self._indexes(name, group, below) for group in value)

    # Tables.

    def table(self, name: str) -> "TomlTable":
        """Read a table; an empty one if it is missing."""
        return TomlTable(self.values.pop(name, {}), self.field_path(name), self.error)

    def tables(self, name: str, needed: bool = True) -> list["TomlTable"]:
        """Read an array of tables; if `needed`, it must not be empty."""
        items = self.values.pop(name, [])
        if not isinstance(items, list) or (needed and not items):
            raise self.field_error(name, f"at least one [[{name}]] is needed")
        return [TomlTable(item, f"{self.field_path(name)}[{n}]", self.error) for n, item in enumerate(items)]

    def _take(self, name: str, types: tuple[type, ...], description: str, default: Any) -> Any:
        value = self.values.pop(name, default)
        if value is None:
            raise self.field_error(name, "is missing")
        is_unwanted_flag = (
            isinstance(value, bool) and bool not in types
        )  # in Python, bool is a subclass of int
        if not isinstance(value, types) or is_unwanted_flag:
            raise self.field_error(name, f"must be {description}")
        return value

    def _indexes(self, name: str, value: Any, below: int) -> tuple[int, ...]:
        if not isinstance(value, list) or not value or not all(_is_index(item, below) for item in value):
            raise self.field_error(name, f"must be a list of numbers from 0 to {below - 1}")
        return tuple(value)


def _is_index(value: Any, below: int) -> bool:
    return type(value) is int and 0 <= value < below


def _range(minimum: float, maximum: float | None) -> str:
    return f"must be {minimum:g} or more" if maximum is None else f"must be from {minimum:g} to {maximum:g}"
