"""Public cluster traces in CSV, read row by row: what each function asks, and a function table from it.

Known by their header: the Azure Functions trace of 2019 (invocations a minute, durations, memory by app) and
that of 2021 (one row a call). Several files of one trace are put together by function."""

import csv
import json
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import TextIO

MINUTE_S, DAY_MINUTES, SHORT_NAME, LANES_MOST = 60.0, 1440, 16, 16

Keep = Callable[[str, str, float, float, int], None]


class TraceError(Exception):
    """A file that is no trace known here."""


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
    gap_most_s: float = 0.0
    duration_sum_ms: float = 0.0
    durations: float = 0.0
    duration_most_ms: float = 0.0
    last_s: float = -math.inf

    def rate(self) -> float:
        return self.calls / self.span_s if self.span_s > 0 else 0.0

    def duration_ms(self) -> float | None:
        return self.duration_sum_ms / self.durations if self.durations else None

    def gap_s(self) -> float | None:
        return self.gap_sum_s / self.gaps if self.gaps else None


@dataclass(slots=True)
class Trace:
    functions: dict[tuple[str, str], Usage] = field(default_factory=dict)
    memory: dict[str, tuple[float, float]] = field(default_factory=dict)  # app to sum and weight
    bad: list[str] = field(default_factory=list)
    rows: int = 0
    first_s: float = math.inf
    last_s: float = -math.inf
    # Where each call goes that a row tells: app, function, when it began, within what span, and how many.
    keep: "Keep | None" = None

    def usage(self, owner: str, app: str, name: str) -> Usage:
        if not app or not name:
            raise RowError("no app or no function")
        found = self.functions.get((app, name))
        if found is None:
            found = self.functions[app, name] = Usage(owner, app, name)
        return found

    def memory_mb(self, usage: Usage) -> float | None:
        total, weight = self.memory.get(usage.app, (0.0, 0.0))
        return total / weight if weight else None

    def read(self, file: TextIO, name: str, bad_most: int = 1000) -> None:
        """Read one file; a bad row is named by its line and left out."""
        rows = csv.reader(file)
        try:
            header = [column.strip() for column in next(rows, [])]
        except (csv.Error, UnicodeDecodeError) as fault:
            raise TraceError(f"{name}: {fault}") from None
        take = self._schema(header, name)
        while True:
            try:
                row = next(rows)
                if not row:
                    continue
                self.rows += 1
                if len(row) != len(header):
                    raise RowError(f"{len(row)} fields where {len(header)} are due")
                take(row)
            except StopIteration:
                break
            except (RowError, csv.Error) as fault:
                if len(self.bad) < bad_most:  # a file of another kind must not fill the memory
                    self.bad.append(f"{name}, line {rows.line_num}: {fault}")
        if self.last_s > self.first_s:
            for usage in self.functions.values():
                usage.span_s = usage.span_s or self.last_s - self.first_s

    def _schema(self, header: list[str], name: str) -> Callable[[list[str]], None]:
        place = {column: n for n, column in enumerate(header)}
        if {"HashApp", "HashFunction", "1"} <= place.keys():
            minutes = [place[str(m)] for m in range(1, DAY_MINUTES + 1) if str(m) in place]
            return lambda row: self._minutes(row, place, minutes)
        if {"HashApp", "HashFunction", "Average", "Count"} <= place.keys():
            return lambda row: self._durations(row, place)
        if {"HashApp", "SampleCount", "AverageAllocatedMb"} <= place.keys():
            return lambda row: self._memory(row, place)
        if {"app", "func", "end_timestamp", "duration"} <= place.keys():
            return lambda row: self._call(row, place)
        raise TraceError(f"{name}: its header is of no trace known here")

    def _minutes(self, row: list[str], place: dict[str, int], minutes: list[int]) -> None:
        counts = [number(row[at], f"minute {n + 1}") for n, at in enumerate(minutes)]
        owner = row[place["HashOwner"]] if "HashOwner" in place else ""
        usage = self.usage(owner, row[place["HashApp"]], row[place["HashFunction"]])
        before = usage.span_s
        usage.calls += sum(counts)
        usage.span_s += MINUTE_S * len(counts)
        for n, count in enumerate(counts):
            if not count:
                continue
            if self.keep is not None:
                self.keep(usage.app, usage.name, before + MINUTE_S * n, MINUTE_S, int(count))
            at_s = before + MINUTE_S * (n + 0.5)
            if usage.last_s > -math.inf:
                usage.gap_most_s = max(usage.gap_most_s, at_s - usage.last_s)
                usage.gap_sum_s += at_s - usage.last_s
                usage.gaps += 1
            usage.gaps += int(count) - 1  # within a minute calls are taken as close together
            usage.last_s = at_s

    def _durations(self, row: list[str], place: dict[str, int]) -> None:
        average, count = number(row[place["Average"]], "Average"), number(row[place["Count"]], "Count")
        most = number(row[place["Maximum"]], "Maximum") if "Maximum" in place else average
        owner = row[place["HashOwner"]] if "HashOwner" in place else ""
        usage = self.usage(owner, row[place["HashApp"]], row[place["HashFunction"]])
        usage.duration_sum_ms += average * count
        usage.durations += count
        usage.duration_most_ms = max(usage.duration_most_ms, most)

    def _memory(self, row: list[str], place: dict[str, int]) -> None:
        average = number(row[place["AverageAllocatedMb"]], "AverageAllocatedMb")
        weight = number(row[place["SampleCount"]], "SampleCount")
        if not (app := row[place["HashApp"]]):
            raise RowError("no app")
        total, before = self.memory.get(app, (0.0, 0.0))
        self.memory[app] = total + average * weight, before + weight

    def _call(self, row: list[str], place: dict[str, int]) -> None:
        end_s = number(row[place["end_timestamp"]], "end_timestamp")
        duration_s = number(row[place["duration"]], "duration")
        usage = self.usage("", row[place["app"]], row[place["func"]])
        began_s = end_s - duration_s
        if self.keep is not None:
            self.keep(usage.app, usage.name, began_s, 0.0, 1)
        if usage.last_s > -math.inf:
            gap_s = max(0.0, began_s - usage.last_s)  # rows stand in order of their ends
            usage.gap_sum_s, usage.gaps = usage.gap_sum_s + gap_s, usage.gaps + 1
            usage.gap_most_s = max(usage.gap_most_s, gap_s)
        usage.last_s = max(usage.last_s, began_s)
        usage.calls += 1
        usage.duration_sum_ms += duration_s * 1000
        usage.durations += 1
        usage.duration_most_ms = max(usage.duration_most_ms, duration_s * 1000)
        self.first_s, self.last_s = min(self.first_s, began_s), max(self.last_s, end_s)

    def ranked(self, top: int = 0) -> list[Usage]:
        found = sorted(self.functions.values(), key=lambda u: (-u.calls, u.app, u.name))
        return found[:top] if top else found

    def named(self, top: int = 0) -> Iterator[tuple[Usage, str]]:
        """Each function with the name it has in a function table: short, and no name twice."""
        taken = set[str]()
        for usage in self.ranked(top):
            name = usage.name[:SHORT_NAME]
            name = f"{usage.app[:SHORT_NAME]}-{usage.name}" if name in taken else name
            taken.add(name)
            yield usage, name


def number(text: str, column: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise RowError(f"column '{column}' is no number: '{text[:40]}'") from None
    if not 0 <= value < math.inf:
        raise RowError(f"column '{column}' is out of range: '{text[:40]}'")
    return value


def summary(trace: Trace, top: int = 0) -> Iterator[dict[str, object]]:
    for usage in trace.ranked(top):
        yield {
            "app": usage.app,
            "function": usage.name,
            "calls": int(usage.calls),
            "rate_per_s": _short(usage.rate()),
            "mean_gap_s": _short(usage.gap_s()),
            "longest_gap_s": _short(usage.gap_most_s if usage.gaps else None),
            "mean_ms": _short(usage.duration_ms()),
            "most_ms": _short(usage.duration_most_ms if usage.durations else None),
            "memory_mb": _short(trace.memory_mb(usage)),
        }


def _short(value: float | None) -> float | None:
    return None if value is None else float(f"{value:.4g}")


def table(rows: Iterable[dict[str, object]]) -> Iterator[str]:
    for n, row in enumerate(rows):
        if not n:
            yield "\t".join(row)
        yield "\t".join("-" if value is None else str(value) for value in row.values())


def functions(trace: Trace, class_name: str, memory_mb: float, top: int = 0) -> Iterator[str]:
    """A function table for the operator's file; a row that lacks its memory gets the one given."""
    for usage, name in trace.named(top):
        # By Little's law: as many lanes as calls are in hand on the mean.
        in_hand = usage.rate() * (usage.duration_ms() or 0.0) / 1000
        lanes = min(LANES_MOST, max(1, math.ceil(in_hand)))
        memory = max(1.0, trace.memory_mb(usage) or memory_mb)
        yield f"[[function]]\nname = {json.dumps(name)}\nclass = {json.dumps(class_name)}"
        yield f"memory_mb = {memory:.1f}\nlanes = {lanes}\n"
