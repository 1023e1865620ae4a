"""A reader for the tables of TOML files: field by field, with an error that names the field.

Used by the operator's file, the agent's file, and the schedules and experiments. A field that is left over at
the end is a mistake: `end` says which one is not known.
"""

import contextlib
import ipaddress
from typing import Any

PORTS = 1 << 16
NUMBER_LIMIT = 1e12  # every number of a file is below


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the field."""


class TomlTable:
    """A table of a file; each method takes one field out of `values`.

    `path` is where the table stands ("" for the top). `error` is the type of what the methods raise, with the
    place first: `net.loss: must be a number from 0 to 1`. A field without a default must be there.
    """

    def __init__(self, values: Any, path: str, error: type[Exception] = ConfigError) -> None:
        """Copy the values. Raises `error` where they are not a table."""
        self.path = path
        self.error = error
        if not isinstance(values, dict):
            raise error(f"{path or 'file'}: must be a table")
        self.values = dict(values)

    # Errors.

    def place(self, name: str) -> str:
        """Return where a field stands in the file."""
        return f"{self.path}.{name}" if self.path else name

    def wrong(self, name: str, problem: str) -> Exception:
        """Return the error to raise for a field."""
        return self.error(f"{self.place(name)}: {problem}")

    def end(self) -> None:
        """Raise the error of a field that is not known, if one is left."""
        if self.values:
            raise self.wrong(next(iter(self.values)), "is not known here")

    # Texts.

    def text(self, name: str, default: str | None = None) -> str:
        """Take a text."""
        return str(self._take(name, (str,), "a text", default))

    def choice(self, name: str, choices: tuple[str, ...], default: str | None = None) -> str:
        """Take a text that is one of `choices`."""
        value = self.text(name, default)
        if value not in choices:
            raise self.wrong(name, f"must be one of {', '.join(choices)}")
        return value

    def address(self, name: str) -> str:
        """Take a `host:port`."""
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 <= int(port) < PORTS:
            raise self.wrong(name, "must be host:port")
        return value

    def loopback(self, name: str) -> str:
        """Take a `host:port` on the loopback interface.

        Whoever reaches such an address can stop the service, or take its runners out.
        """
        value = self.address(name)
        with contextlib.suppress(ValueError):
            if ipaddress.ip_address(value.rpartition(":")[0]).is_loopback:
                return value
        raise self.wrong(name, "must be a loopback address")

    # Numbers and flags.

    def number(
        self, name: str, default: float | None = None, minimum: float = 0.0, maximum: float | None = None
    ) -> float:
        """Take a number from `minimum` to `maximum`."""
        value = float(self._take(name, (int, float), "a number", default))
        if not minimum <= value < NUMBER_LIMIT or (maximum is not None and value > maximum):
            raise self.wrong(name, _range(minimum, maximum))
        return value

    def whole(
        self, name: str, default: int | None = None, minimum: int = 0, maximum: int | None = None
    ) -> int:
        """Take a whole number from `minimum` to `maximum`."""
        value = int(self._take(name, (int,), "a whole number", default))
        if value < minimum or (maximum is not None and value > maximum):
            raise self.wrong(name, _range(minimum, maximum))
        return value

    def flag(self, name: str, default: bool) -> bool:
        """Take true or false."""
        return bool(self._take(name, (bool,), "true or false", default))

    # Lists of members, by their numbers.

    def numbers(self, name: str, below: int) -> tuple[int, ...]:
        """Take a list, not empty, of whole numbers from 0 to `below` - 1."""
        value = self._take(name, (list,), "a list", None)
        return self._numbers(name, value, below)

    def groups(self, name: str, below: int) -> tuple[tuple[int, ...], ...]:
        """Take a list, not empty, of such lists."""
        value = self._take(name, (list,), "a list of lists", None)
        if not value:
            raise self.wrong(name, "must not be empty")
        return tuple(self._numbers(name, group, below) for group in value)

    # Tables.

    def table(self, name: str) -> "TomlTable":
        """Take a table; an empty one where there is none."""
        return TomlTable(self.values.pop(name, {}), self.place(name), self.error)

    def tables(self, name: str, needed: bool = True) -> list["TomlTable"]:
        """Take an array of tables, with one at least where `needed`."""
        items = self.values.pop(name, [])
        if not isinstance(items, list) or (needed and not items):
            raise self.wrong(name, f"at least one [[{name}]] is needed")
        return [TomlTable(item, f"{self.place(name)}[{n}]", self.error) for n, item in enumerate(items)]

    def _take(self, name: str, types: tuple[type, ...], description: str, default: Any) -> Any:
        value = self.values.pop(name, default)
        if value is None:
            raise self.wrong(name, "is missing")
        is_unwanted_flag = isinstance(value, bool) and bool not in types  # a bool is an int in Python
        if not isinstance(value, types) or is_unwanted_flag:
            raise self.wrong(name, f"must be {description}")
        return value

    def _numbers(self, name: str, value: Any, below: int) -> tuple[int, ...]:
        if not isinstance(value, list) or not value or not all(_is_index(item, below) for item in value):
            raise self.wrong(name, f"must be a list of numbers from 0 to {below - 1}")
        return tuple(value)


def _is_index(value: Any, below: int) -> bool:
    return type(value) is int and 0 <= value < below


def _range(minimum: float, maximum: float | None) -> str:
    return f"must be {minimum:g} or more" if maximum is None else f"must be from {minimum:g} to {maximum:g}"
