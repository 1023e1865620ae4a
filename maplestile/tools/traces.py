"""Public cluster traces in CSV, read row by row: what each function uses.

They are known by their header: the Azure Functions trace of 2019 (invocations a minute, durations, memory by
app) and that of 2021 (one row a call). Several files of one trace are put together by function.
See https://github.com/Azure/AzurePublicDataset for the forms.
"""

import csv
import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TextIO

MINUTE_S = 60.0
DAY_MINUTES = 1440
MS_PER_S = 1000
SHORT_NAME_LENGTH = 16
MAX_BAD_ROWS = 1000  # named; a file of another kind must not fill the memory

Row = list[str]
Columns = Mapping[str, int]  # the index of each column by its name


@dataclass(slots=True, frozen=True)
class CallGroup:
    """Calls of one function that a row has."""

    app: str
    function: str
    start_s: float
    span_s: float  # within which they start; 0 for a single call with a known start
    count: int


CallGroupHandler = Callable[[CallGroup], None]


class TraceError(Exception):
    """A file that is no known trace."""


class RowError(Exception):
    """A row that cannot be used."""


@dataclass(slots=True)
class Usage:
    """One function; means are kept as sums and counts, so that no row needs to be held."""

    owner: str
    app: str
    name: str
    calls: float = 0.0
    span_s: float = 0.0
    gap_sum_s: float = 0.0
    gaps: int = 0
    max_gap_s: float = 0.0
    duration_sum_ms: float = 0.0
    durations: float = 0.0
    max_duration_ms: float = 0.0
    last_s: float = -math.inf

    def rate(self) -> float:
        """Calls a second."""
        return self.calls / self.span_s if self.span_s > 0 else 0.0

    def duration_ms(self) -> float | None:
        """The mean duration."""
        return self.duration_sum_ms / self.durations if self.durations else None

    def gap_s(self) -> float | None:
        """The mean time between the starts of two calls."""
        return self.gap_sum_s / self.gaps if self.gaps else None

    def add_gap(self, gap_s: float) -> None:
        """Count the time between the starts of two calls."""
        self.max_gap_s = max(self.max_gap_s, gap_s)
        self.gap_sum_s += gap_s
        self.gaps += 1

    def add_durations(self, mean_ms: float, count: float, most_ms: float) -> None:
        """Count some calls' durations."""
        self.duration_sum_ms += mean_ms * count
        self.durations += count
        self.max_duration_ms = max(self.max_duration_ms, most_ms)


@dataclass(slots=True)
class Trace:
    """The content of the files of one trace that have been read so far."""

    functions: dict[tuple[str, str], Usage] = field(default_factory=dict)
    memory: dict[str, tuple[float, float]] = field(default_factory=dict)  # app to sum and weight
    bad: list[str] = field(default_factory=list)  # rows that could not be used, by their line
    rows: int = 0
    first_s: float = math.inf
    last_s: float = -math.inf
    on_calls: CallGroupHandler | None = None  # receives the calls as they are read

    def usage(self, owner: str, app: str, name: str) -> Usage:
        """The usage of a function, which is new at its first row. Raises `RowError`."""
        if not app or not name:
            raise RowError("no app or no function")
        found = self.functions.get((app, name))
        if found is None:
            found = Usage(owner, app, name)
            self.functions[app, name] = found
        return found

    def memory_mb(self, usage: Usage) -> float | None:
        """The mean memory of a function's app; None where the trace has none."""
        total, weight = self.memory.get(usage.app, (0.0, 0.0))
        return total / weight if weight else None

    def read(self, file: TextIO, name: str, max_bad_rows: int = MAX_BAD_ROWS) -> None:
        """Read one file; a row that cannot be used is named by its line and left out.

        Raises `TraceError` where the file is no known trace.
        """
        reader = csv.reader(file)
        try:
            header = [column.strip() for column in next(reader, [])]
        except (csv.Error, UnicodeDecodeError) as error:
            raise TraceError(f"{name}: {error}") from None
        read_row = self._row_reader(header, name)
        while True:
            try:
                row = next(reader)
                if row:
                    self._read_row(row, len(header), read_row)
            except StopIteration:
                break
            except (RowError, csv.Error) as error:
                if len(self.bad) < max_bad_rows:
                    self.bad.append(f"{name}, line {reader.line_num}: {error}")
        self._set_spans()

    def _read_row(self, row: Row, width: int, read_row: Callable[[Row], None]) -> None:
        self.rows += 1
        if len(row) != width:
            raise RowError(f"{len(row)} fields where {width} are due")
        read_row(row)

    def _set_spans(self) -> None:
        """Give the functions without a span of their own that of the whole trace."""
        if self.last_s > self.first_s:
            for usage in self.functions.values():
                usage.span_s = usage.span_s or self.last_s - self.first_s

    def _row_reader(self, header: Row, name: str) -> Callable[[Row], None]:
        """The reader for rows of a file with this header. Raises `TraceError` where there is none."""
        columns = {column: index for index, column in enumerate(header)}
        names = columns.keys()
        if {"HashApp", "HashFunction", "1"} <= names:
            minutes = [columns[str(m)] for m in range(1, DAY_MINUTES + 1) if str(m) in columns]
            return lambda row: self._read_minutes(row, columns, minutes)
        if {"HashApp", "HashFunction", "Average", "Count"} <= names:
            return lambda row: self._read_durations(row, columns)
        if {"HashApp", "SampleCount", "AverageAllocatedMb"} <= names:
            return lambda row: self._read_memory(row, columns)
        if {"app", "func", "end_timestamp", "duration"} <= names:
            return lambda row: self._read_call(row, columns)
        raise TraceError(f"{name}: its header is of no trace known here")

    def _hashed_usage(self, row: Row, columns: Columns) -> Usage:
        owner = row[columns["HashOwner"]] if "HashOwner" in columns else ""
        return self.usage(owner, row[columns["HashApp"]], row[columns["HashFunction"]])

    def _read_minutes(self, row: Row, columns: Columns, minutes: list[int]) -> None:
        """Read a function's calls in each minute."""
        counts = [number(row[index], f"minute {minute}") for minute, index in enumerate(minutes, 1)]
        usage = self._hashed_usage(row, columns)
        start_s = usage.span_s
        usage.calls += sum(counts)
        usage.span_s += MINUTE_S * len(counts)
        for minute, count in enumerate(counts):
            if count:
                self._add_minute(usage, start_s + MINUTE_S * minute, int(count))

    def _add_minute(self, usage: Usage, start_s: float, count: int) -> None:
        if self.on_calls is not None:
            self.on_calls(CallGroup(usage.app, usage.name, start_s, MINUTE_S, count))
        middle_s = start_s + MINUTE_S / 2
        if usage.last_s > -math.inf:
            usage.add_gap(middle_s - usage.last_s)
        usage.gaps += count - 1  # within a minute calls are taken as close together
        usage.last_s = middle_s

    def _read_durations(self, row: Row, columns: Columns) -> None:
        """Read a function's mean and longest duration."""
        average = number(row[columns["Average"]], "Average")
        count = number(row[columns["Count"]], "Count")
        most = number(row[columns["Maximum"]], "Maximum") if "Maximum" in columns else average
        self._hashed_usage(row, columns).add_durations(average, count, most)

    def _read_memory(self, row: Row, columns: Columns) -> None:
        """Read an app's mean memory."""
        average = number(row[columns["AverageAllocatedMb"]], "AverageAllocatedMb")
        weight = number(row[columns["SampleCount"]], "SampleCount")
        app = row[columns["HashApp"]]
        if not app:
            raise RowError("no app")
        total, former_weight = self.memory.get(app, (0.0, 0.0))
        self.memory[app] = total + average * weight, former_weight + weight

    def _read_call(self, row: Row, columns: Columns) -> None:
        """Read one call; the rows are in the order of the calls' ends."""
        end_s = number(row[columns["end_timestamp"]], "end_timestamp")
        duration_s = number(row[columns["duration"]], "duration")
        usage = self.usage("", row[columns["app"]], row[columns["func"]])
        start_s = end_s - duration_s
        if self.on_calls is not None:
            self.on_calls(CallGroup(usage.app, usage.name, start_s, span_s=0.0, count=1))
        if usage.last_s > -math.inf:
            usage.add_gap(max(0.0, start_s - usage.last_s))
        usage.last_s = max(usage.last_s, start_s)
        usage.calls += 1
        duration_ms = duration_s * MS_PER_S
        usage.add_durations(duration_ms, 1, duration_ms)
        self.first_s = min(self.first_s, start_s)
        self.last_s = max(self.last_s, end_s)

    def ranked(self, top: int = 0) -> list[Usage]:
        """The functions by their calls, the busiest first; only so many where `top` is not 0."""
        found = sorted(self.functions.values(), key=lambda usage: (-usage.calls, usage.app, usage.name))
        return found[:top] if top else found

    def named(self, top: int = 0) -> Iterator[tuple[Usage, str]]:
        """Each function with the name it has in a function table: short, and no name twice."""
        taken = set[str]()
        for usage in self.ranked(top):
            name = usage.name[:SHORT_NAME_LENGTH]
            if name in taken:
                name = f"{usage.app[:SHORT_NAME_LENGTH]}-{usage.name}"
            taken.add(name)
            yield usage, name


def number(text: str, column: str) -> float:
    """Read a number that is finite and not negative. Raises `RowError` naming the column."""
    try:
        value = float(text)
    except ValueError:
        raise RowError(f"column '{column}' is no number: '{text[:40]}'") from None
    if not 0 <= value < math.inf:
        raise RowError(f"column '{column}' is out of range: '{text[:40]}'")
    return value
