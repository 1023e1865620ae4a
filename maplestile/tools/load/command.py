"""`maplestile load`: call invoke fronts at a set rate or as in a trace, and print the result as JSON.

The exit code is 0 however the calls ended, and 2 for invalid arguments.
"""

import argparse
import asyncio
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

from maplestile.common.address import Address, parse_address
from maplestile.common.toml_table import ConfigError, TomlTable
from maplestile.tools.traces_command import read_traces

if TYPE_CHECKING:
    from maplestile.tools.load.arrivals import Arrival
    from maplestile.tools.load.client import CallTemplate

# The modules of the load generator are imported by the functions that need them, because the histogram
# library would delay the start of every other command.


class ArgumentsError(ConfigError):
    """Raised for invalid arguments of the command."""


def add(commands: Any) -> None:
    """Add the command to argparse's sub-parsers."""
    command = commands.add_parser("load", help="call invoke fronts, at a rate or as recorded in a trace")
    command.add_argument("target", nargs="+", metavar="HOST:PORT", help="invoke fronts, called in turn")
    _add_arrival_options(command)
    _add_request_options(command)
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--plot", type=Path, metavar="PNG")
    command.set_defaults(run=run)


def _add_arrival_options(command: argparse.ArgumentParser) -> None:
    add_option = command.add_argument
    add_option("--function", action="append", default=[], metavar="NAME[=WEIGHT]", help="what to call")
    add_option("--rate", type=float, default=0.0, help="calls a second, Poisson")
    add_option("--trace", type=Path, action="append", default=[], help="a trace in CSV to replay")
    add_option("--speed", type=float, default=1.0, help="replay so many times as fast")
    add_option("--seconds", type=float, default=10.0, help="no call is made later (default 10)")
    add_option("--count", type=int, default=100_000, help="no more calls than this")
    add_option("--open", type=int, default=1000, help="no more calls in hand than this")


def _add_request_options(command: argparse.ArgumentParser) -> None:
    add_option = command.add_argument
    add_option("--wait-s", type=float, default=30.0, help="for an answer; then the call is lost")
    add_option("--tenant", default="")
    add_option("--class", dest="class_name", default="")
    add_option("--deadline-ms", type=int, default=0)
    add_option("--body-bytes", type=int, default=64)
    add_option("--keys", action="store_true", help="an Idempotency-Key with each call")


def run(arguments: argparse.Namespace) -> int:
    """Make the calls, print the result, and draw the plot if one is requested."""
    from maplestile.tools.load import arrivals, client, report

    try:
        targets = _parse_targets(arguments.target)
        weights = _parse_weights(arguments.function)
        _check_numbers(arguments)
    except ArgumentsError as error:
        print(f"maplestile: load: {error}", file=sys.stderr)
        return 2
    planned = arrivals.bounded(_plan_arrivals(arguments, weights), arguments.seconds, arguments.count)
    load = client.Load(targets, _call_template(arguments), arguments.wait_s)
    result = asyncio.run(load.run(planned, arguments.open))
    print(report.as_json(report.summarize(result)))
    if arguments.plot is not None:
        report.plot(result, f"{result.ends.total()} calls to {len(targets)} instances", arguments.plot)
    return 0


def _call_template(arguments: argparse.Namespace) -> "CallTemplate":
    from maplestile.tools.load.client import CallTemplate

    return CallTemplate(
        body=b"x" * arguments.body_bytes,
        tenant=arguments.tenant,
        class_name=arguments.class_name,
        deadline_ms=arguments.deadline_ms,
        has_idempotency_keys=arguments.keys,
    )


def _parse_targets(texts: Sequence[str]) -> list[Address]:
    if not all(_is_loopback(text) for text in texts):
        raise ArgumentsError("targets must be loopback addresses, HOST:PORT")
    return [parse_address(text) for text in texts]


def _is_loopback(text: str) -> bool:
    try:
        TomlTable({"target": text}, "", ArgumentsError).loopback("target")
    except ArgumentsError:
        return False
    return True


def _parse_weights(texts: Sequence[str]) -> dict[str, float]:
    """Return the weights by function name. Raises `ArgumentsError` for the last text that is invalid."""
    weights: dict[str, float] = {}
    invalid_text = None
    for text in texts:
        name, _, weight = text.partition("=")
        try:
            weights[name] = float(weight or 1)
        except ValueError:
            invalid_text = text
    if invalid_text is not None:
        raise ArgumentsError(f"--function {invalid_text}: the weight is not a number")
    return weights


def _check_numbers(arguments: argparse.Namespace) -> None:
    """Check that the options are consistent and in range. Raises `ArgumentsError`."""
    if bool(arguments.rate) == bool(arguments.trace):
        raise ArgumentsError("specify either --rate or --trace")
    if arguments.rate and not arguments.function:
        raise ArgumentsError("--rate needs a --function")
    positive = (arguments.speed, arguments.seconds, arguments.count, arguments.open, arguments.wait_s)
    if min(positive) <= 0 or arguments.rate < 0:
        raise ArgumentsError(
            "--rate, --speed, --seconds, --count, --open and --wait-s must be greater than 0"
        )


def _plan_arrivals(arguments: argparse.Namespace, weights: dict[str, float]) -> "Iterable[Arrival]":
    """Plan the calls, as a Poisson process or from the files of a trace. Raises `TraceError`."""
    from maplestile.tools.load import arrivals

    if arguments.rate:
        return list(arrivals.poisson(weights, arguments.rate, arguments.seconds, arguments.seed))
    recorder = arrivals.Recorder(arguments.seed, arguments.count)
    trace = read_traces(arguments.trace, recorder.record)
    only_function = next(iter(weights), "")
    return arrivals.replay(recorder, arrivals.called_names(trace, only_function), arguments.speed)
