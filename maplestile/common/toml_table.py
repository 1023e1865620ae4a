"""One reader for the tables of TOML files: field by field, with an error that names the field.

Used by the operator's file, the agent's file, and the schedules and experiments. What is left over at the end
is a mistake: `end` says which field is not known."""

import ipaddress
from typing import Any


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the field."""


class TomlTable:
    """A table of a file. `path` is where it stands ("" for the top); `error` is what it raises, with the
    place first: `net.loss: must be a number from 0 to 1`."""

    def __init__(self, values: Any, path: str, error: type[Exception] = ConfigError) -> None:
        self.path, self.error = path, error
        if not isinstance(values, dict):
            raise error(f"{path or 'file'}: must be a table")
        self.values = dict(values)

    def place(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def wrong(self, name: str, told: str) -> Exception:
        """The error to raise for a field."""
        return self.error(f"{self.place(name)}: {told}")

    def _take(self, name: str, kinds: tuple[type, ...], told: str, default: Any) -> Any:
        value = self.values.pop(name, default)
        if value is None:
            raise self.wrong(name, "is missing")
        if not isinstance(value, kinds) or isinstance(value, bool) and bool not in kinds:
            raise self.wrong(name, f"must be {told}")
        return value

    def text(self, name: str, default: str | None = None) -> str:
        return str(self._take(name, (str,), "a text", default))

    def address(self, name: str) -> str:
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 <= int(port) < 65536:
            raise self.wrong(name, "must be host:port")
        return value

    def loopback(self, name: str) -> str:
        """Whoever reaches such an address can stop the service, or take its runners out."""
        value = self.address(name)
        try:
            if ipaddress.ip_address(value.rpartition(":")[0]).is_loopback:
                return value
        except ValueError:
            pass
        raise self.wrong(name, "must be a loopback address")

    def number(
        self, name: str, default: float | None = None, least: float = 0.0, most: float | None = None
    ) -> float:
        value = float(self._take(name, (int, float), "a number", default))
        if not least <= value < 1e12 or most is not None and value > most:
            raise self.wrong(name, _range(least, most))
        return value

    def whole(self, name: str, default: int | None = None, least: int = 0, most: int | None = None) -> int:
        value = int(self._take(name, (int,), "a whole number", default))
        if value < least or most is not None and value > most:
            raise self.wrong(name, _range(least, most))
        return value

    def flag(self, name: str, default: bool) -> bool:
        return bool(self._take(name, (bool,), "true or false", default))

    def choice(self, name: str, choices: tuple[str, ...], default: str | None = None) -> str:
        value = self.text(name, default)
        if value not in choices:
            raise self.wrong(name, f"must be one of {', '.join(choices)}")
        return value

    def numbers(self, name: str, below: int) -> tuple[int, ...]:
        """A list of whole numbers from 0 to `below` - 1, not empty: members, by their place."""
        value = self._take(name, (list,), "a list", None)
        return self._numbers(name, value, below)

    def groups(self, name: str, below: int) -> tuple[tuple[int, ...], ...]:
        """A list of such lists."""
        value = self._take(name, (list,), "a list of lists", None)
        if not value:
            raise self.wrong(name, "must not be empty")
        return tuple(self._numbers(name, group, below) for group in value)

    def _numbers(self, name: str, value: Any, below: int) -> tuple[int, ...]:
        good = isinstance(value, list) and value and all(type(m) is int and 0 <= m < below for m in value)
        if not good:
            raise self.wrong(name, f"must be a list of numbers from 0 to {below - 1}")
        return tuple(value)

    def table(self, name: str) -> "TomlTable":
        return TomlTable(self.values.pop(name, {}), self.place(name), self.error)

    def tables(self, name: str, needed: bool = True) -> list["TomlTable"]:
        rows = self.values.pop(name, [])
        if not isinstance(rows, list) or needed and not rows:
            raise self.wrong(name, f"at least one [[{name}]] is needed")
        return [TomlTable(row, f"{self.place(name)}[{n}]", self.error) for n, row in enumerate(rows)]

    def end(self) -> None:
        if self.values:
            raise self.wrong(next(iter(self.values)), "is not known here")


def _range(least: float, most: float | None) -> str:
    return f"must be {least:g} or more" if most is None else f"must be from {least:g} to {most:g}"
