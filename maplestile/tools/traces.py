"""Reader of public cluster traces in CSV; it adds up the usage of each function row by row.

The format is recognized by the header: the Azure Functions trace of 2019 (invocations per minute, durations,
and memory by app) or that of 2021 (one row per call). Several files of one trace are joined by function.
See https://github.com/Azure/AzurePublicDataset for the formats.
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
MAX_BAD_ROWS = 1000  # reported; bounds the memory that a file of another format takes

Row = list[str]
Columns = Mapping[str, int]  # the index of each column by its name


@dataclass(slots=True, frozen=True)
class CallGroup:
    """Calls of one function from one row, which start within one time span."""

    app: str
    function: str
    start_s: float  # start of the span, on the clock of the trace
    span_s: float  # length of the span; 0 for a single call with a known start
    count: int


CallGroupHandler = Callable[[CallGroup], None]


class TraceError(Exception):
    """Raised for a file that cannot be read or is in no known trace format."""


class RowError(Exception):
    """Raised for an invalid row."""


@dataclass(slots=True)
class Usage:
    """The usage of one function, as sums and counts, so that rows need not be stored to compute means."""

    owner: str
    app: str
    name: str
    calls: float = 0.0
    span_s: float = 0.0  # length of the part of the trace that covers the function; 0 while unknown
    gap_sum_s: float = 0.0
    gap_count: int = 0  # gaps between the starts of consecutive calls
    max_gap_s: float = 0.0
    duration_sum_ms: float = 0.0
    duration_count: float = 0.0  # calls with a known duration
    max_duration_ms: float = 0.0
    last_start_s: float = -math.inf  # latest start of a call so far

    def calls_per_second(self) -> float:
        """Return the mean number of calls per second; 0 if the span is unknown."""
        return self.calls / self.span_s if self.span_s > 0 else 0.0

    def mean_duration_ms(self) -> float | None:
        """Return the mean duration, or None if no duration is known."""
        return self.duration_sum_ms / self.duration_count if self.duration_count else None

    def mean_gap_s(self) -> float | None:
        """Return the mean time between the starts of consecutive calls, or None for fewer than two calls."""
        return self.gap_sum_s / self.gap_count if self.gap_count else None

    def add_gap(self, gap_s: float) -> None:
        """Add a time between the starts of two consecutive calls."""
        self.max_gap_s = max(self.max_gap_s, gap_s)
        self.gap_sum_s += gap_s
        self.gap_count += 1

    def add_durations(self, mean_ms: float, count: float, max_ms: float) -> None:
        """Add the mean and longest duration of `count` calls."""
        self.duration_sum_ms += mean_ms * count
        self.duration_count += count
        self.max_duration_ms = max(self.max_duration_ms, max_ms)


@dataclass(slots=True)
class Trace:
    """The content of the files of one trace that have been read so far."""

    functions: dict[tuple[str, str], Usage] = field(default_factory=dict)  # by app and function
    memory: dict[str, tuple[float, float]] = field(default_factory=dict)  # by app: weighted sum in MB, weight
    row_errors: list[str] = field(default_factory=list)  # one for each invalid row, with its line number
    rows: int = 0  # rows read, including invalid ones
    first_s: float = math.inf  # start of the first call, in traces of single calls
    last_s: float = -math.inf  # end of the last call, in traces of single calls
    on_calls: CallGroupHandler | None = None  # receives the calls as they are read; None for no handler

    def usage(self, owner: str, app: str, name: str) -> Usage:
        """Return the usage of a function, creating it at its first row. Raises `RowError` for empty names."""
        if not app or not name:
            raise RowError("the name of the app or the function is empty")
        found = self.functions.get((app, name))
        if found is None:
            found = Usage(owner, app, name)
            self.functions[app, name] = found
        return found

    def memory_mb(self, usage: Usage) -> float | None:
        """Return the mean memory of a function's app, or None if the trace has no memory data for the app."""
        total, weight = self.memory.get(usage.app, (0.0, 0.0))
        return total / weight if weight else None

    def read(self, file: TextIO, name: str, max_bad_rows: int = MAX_BAD_ROWS) -> None:
        """Read one file; invalid rows are skipped and reported in `row_errors` by their line number.

        Raises `TraceError` if the file is in no known trace format.
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
                if len(self.row_errors) < max_bad_rows:
                    self.row_errors.append(f"{name}, line {reader.line_num}: {error}")
        self._set_spans()

    def _read_row(self, row: Row, width: int, read_row: Callable[[Row], None]) -> None:
        self.rows += 1
        if len(row) != width:
            raise RowError(f"found {len(row)} fields, expected {width}")
        read_row(row)

    def _set_spans(self) -> None:
        """Set the span of functions that have none to the length of the whole trace."""
        if self.last_s > self.first_s:
            for usage in self.functions.values():
                usage.span_s = usage.span_s or self.last_s - self.first_s

    def _row_reader(self, header: Row, name: str) -> Callable[[Row], None]:
        """Return the reader for rows under this header. Raises `TraceError` if no format has this header."""
        columns = {column: index for index, column in enumerate(header)}
        names = columns.keys()
        if {"HashApp", "HashFunction", "1"} <= names:
            minutes = [columns[str(minute)] for minute in range(1, DAY_MINUTES + 1) if str(minute) in columns]
            return lambda row: self._read_minutes(row, columns, minutes)
        if {"HashApp", "HashFunction", "Average", "Count"} <= names:
            return lambda row: self._read_durations(row, columns)
        if {"HashApp", "SampleCount", "AverageAllocatedMb"} <= names:
            return lambda row: self._read_memory(row, columns)
        if {"app", "func", "end_timestamp", "duration"} <= names:
            return lambda row: self._read_call(row, columns)
        raise TraceError(f"{name}: the header matches no known trace format")

    def _hashed_usage(self, row: Row, columns: Columns) -> Usage:
        owner = row[columns["HashOwner"]] if "HashOwner" in columns else ""
        return self.usage(owner, row[columns["HashApp"]], row[columns["HashFunction"]])

    def _read_minutes(self, row: Row, columns: Columns, minutes: list[int]) -> None:
        """Read the calls of a function in each minute."""
        counts = [parse_number(row[index], f"minute {minute}") for minute, index in enumerate(minutes, 1)]
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
        if usage.last_start_s > -math.inf:
            usage.add_gap(middle_s - usage.last_start_s)
        usage.gap_count += count - 1  # gaps between calls of the same minute are taken as 0 s
        usage.last_start_s = middle_s

    def _read_durations(self, row: Row, columns: Columns) -> None:
        """Read the mean and longest duration of a function."""
        average = parse_number(row[columns["Average"]], "Average")
        count = parse_number(row[columns["Count"]], "Count")
        longest = parse_number(row[columns["Maximum"]], "Maximum") if "Maximum" in columns else average
        self._hashed_usage(row, columns).add_durations(average, count, longest)

    def _read_memory(self, row: Row, columns: Columns) -> None:
        """Read the mean memory of an app."""
        average = parse_number(row[columns["AverageAllocatedMb"]], "AverageAllocatedMb")
        weight = parse_number(row[columns["SampleCount"]], "SampleCount")
        app = row[columns["HashApp"]]
        if not app:
            raise RowError("the name of the app is empty")
        total, total_weight = self.memory.get(app, (0.0, 0.0))
        self.memory[app] = total + average * weight, total_weight + weight

    def _read_call(self, row: Row, columns: Columns) -> None:
        """Read one call; the rows are ordered by the end of the call."""
        end_s = parse_number(row[columns["end_timestamp"]], "end_timestamp")
        duration_s = parse_number(row[columns["duration"]], "duration")
        usage = self.usage("", row[columns["app"]], row[columns["func"]])
        start_s = end_s - duration_s
        if self.on_calls is not None:
            self.on_calls(CallGroup(usage.app, usage.name, start_s, span_s=0.0, count=1))
        if usage.last_start_s > -math.inf:
            usage.add_gap(max(0.0, start_s - usage.last_start_s))
        usage.last_start_s = max(usage.last_start_s, start_s)
        usage.calls += 1
        duration_ms = duration_s * MS_PER_S
        usage.add_durations(duration_ms, 1, duration_ms)
        self.first_s = min(self.first_s, start_s)
        self.last_s = max(self.last_s, end_s)

    def ranked(self, top: int = 0) -> list[Usage]:
        """Return the `top` busiest functions, or all if `top` is 0; the busiest comes first."""
        ranked = sorted(self.functions.values(), key=lambda usage: (-usage.calls, usage.app, usage.name))
        return ranked[:top] if top else ranked

    def named(self, top: int = 0) -> Iterator[tuple[Usage, str]]:
        """Yield the functions of `ranked`, each with a short and unique name for a function table."""
        taken = set[str]()
        for usage in self.ranked(top):
            name = usage.name[:SHORT_NAME_LENGTH]
            if name in taken:
                name = f"{usage.app[:SHORT_NAME_LENGTH]}-{usage.name}"
            taken.add(name)
            yield usage, name


def parse_number(text: str, column: str) -> float:
    """Parse a finite number that is not negative. Raises `RowError`, which names the column."""
    try:
        value = float(text)
    except ValueError:
        raise RowError(f"column '{column}' is not a number: '{text[:40]}'") from None
    if not 0 <= value < math.inf:
        raise RowError(f"column '{column}' is out of range: '{text[:40]}'")
    return value
