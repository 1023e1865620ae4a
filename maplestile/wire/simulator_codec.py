"""The simulator's line protocol: lines into events, settings and list entries, and actions into lines."""

import base64
import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from maplestile.dispatch import api
from maplestile.wire import settings
from maplestile.wire.messages import Report

WORKER_STATES = {
    "Running": api.WorkerState.RUNNING,
    "Stopping": api.WorkerState.DRAINING,
    "Deleted": api.WorkerState.GONE,
}
RESULTS = {
    "success": api.Result.OK,
    "failure": api.Result.ERROR,
    "overloaded": api.Result.FULL,
    "timed_out": api.Result.TIMEOUT,
    "unreachable": api.Result.CONNECT_FAILED,
    "broken": api.Result.RESET,
    "withdrawn": api.Result.CANCELLED,
    "void": api.Result.SUPERSEDED,
    "absent": api.Result.MISS,
}
LIST_KINDS = {kind.value: kind for kind in api.ListKind}
WARMTHS = {warmth.value: warmth for warmth in api.Warmth}
WARMTH_VALUES = 8  # the field `remark` is `queued_ahead` times this, and the warmth
EMPTY = "-"  # stands for empty bytes
SHOWN_CHARACTERS = 40  # of a line, in an error

T = TypeVar("T")


class WireError(Exception):
    """A line that cannot be understood; the text names the field."""


class LineFields:
    """The name=value pairs of one line; reading one raises a `WireError` that names the field."""

    def __init__(self, line: str, text_field: str = "") -> None:
        """Parse a line; the value of `text_field`, if given, holds spaces and goes to the end of the line."""
        self.name, _, pairs = line.partition(" ")
        self.values: dict[str, str] = {}
        if text_field:
            self._parse_with_text(pairs, text_field)
        else:  # no value holds a space, which most lines rely on for speed
            self._parse(pairs)

    def text(self, name: str, default: str | None = None) -> str:
        """Return the value of a field."""
        value = self.values.get(name, default)
        if value is None:
            raise WireError(f"{self.name}: field '{name}' is missing")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return the value of a field as a float."""
        if name not in self.values and default is not None:
            return default
        try:
            return float(self.text(name))
        except ValueError:
            raise WireError(f"{self.name}: field '{name}' is no number") from None

    def whole(self, name: str, default: int | None = None) -> int:
        """Return the value of a field as a whole number."""
        if name not in self.values and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError:
            raise WireError(f"{self.name}: field '{name}' is no whole number") from None

    def member(self, name: str, choices: Mapping[str, T]) -> T:
        """Return what the value of a field stands for."""
        value = self.text(name)
        if value not in choices:
            raise WireError(f"{self.name}: field '{name}' has the unknown value '{value}'")
        return choices[value]

    def report(self) -> Report:
        """Return the load report, of the form `name:value,name:value`."""
        parts = [part.partition(":") for part in self.values.get("usage", "").split(",") if part]
        try:
            return tuple([(name, float(value)) for name, _, value in parts])
        except ValueError:
            raise WireError(f"{self.name}: field 'usage' is no list of name:number") from None

    def _parse(self, pairs: str) -> None:
        for pair in pairs.split(" ") if pairs else ():
            name, equals, value = pair.partition("=")
            if not equals or not name:
                raise self._no_pair(pair)
            self.values[name] = value

    def _parse_with_text(self, pairs: str, text_field: str) -> None:
        rest = pairs
        while rest:
            name, equals, after = rest.partition("=")
            if not equals or " " in name or not name:
                raise self._no_pair(rest)
            if name == text_field:
                self.values[name] = after
                return
            self.values[name], _, rest = after.partition(" ")

    def _no_pair(self, text: str) -> WireError:
        return WireError(f"{self.name}: no name=value pair at '{text[:SHOWN_CHARACTERS]}'")


def settings_from(text: str) -> api.Settings:
    """Parse the settings of a `BEGIN` line; raises `WireError`."""
    try:
        return settings.settings_from(json.loads(text))
    except json.JSONDecodeError:
        raise WireError("BEGIN: field 'params' is no JSON object") from None
    except settings.SettingsError as error:
        raise WireError(f"BEGIN: field 'params' {error}") from None


def entry_from(line: str) -> api.WorkerEntry:
    """Parse one line of a worker list; raises `WireError`."""
    fields = LineFields(line)
    return api.WorkerEntry(
        worker=fields.text("runner"),
        zone=fields.text("dc", ""),
        kind=fields.text("model", ""),
        cell=fields.whole("bay", 0),
        state=fields.member("availability", WORKER_STATES),
        weight=fields.number("heft", 1.0),
        started_us=fields.whole("cameUpUs", 0),
    )


def event_from(fields: LineFields, entries: tuple[api.WorkerEntry, ...] = ()) -> api.Event | None:
    """Return the event of a line, or None for an unknown message; raises `WireError`.

    `entries` are those of the worker list that the line announces.
    """
    if fields.name == "ROSTER_CHANGE":
        kind = fields.member("how", LIST_KINDS)
        return api.WorkerListReceived(kind, fields.whole("index", 0), entries)
    decode = EVENT_DECODERS.get(fields.name)
    return None if decode is None else decode(fields)


def action_line(who: str, action: api.Action) -> str:
    """Return the line of an action of the dispatcher with the name `who`."""
    return ACTION_ENCODERS[type(action)](who, action)


def _timer_fired(fields: LineFields) -> api.TimerFired:
    return api.TimerFired(fields.whole("mark"))


def _call_arrived(fields: LineFields) -> api.CallArrived:
    return api.CallArrived(
        call=fields.whole("req"),
        function=fields.text("model", ""),
        class_name=fields.text("grade"),
        budget_us=fields.whole("timeBudgetUs"),
        memory_mb=fields.number("footprintMb", 0.0),
        lanes=int(fields.number("width", 1.0)),
        cost_us=fields.whole("costGuessUs", 0),
        tenant=fields.text("party", "").removeprefix("0"),
        repeat=fields.text("isRetry", "0") == "1",
    )


def _call_expired(fields: LineFields) -> api.CallExpired:
    return api.CallExpired(fields.whole("req"))


def _stream_started(fields: LineFields) -> api.StreamStarted:
    return api.StreamStarted(
        call=fields.whole("req"),
        attempt=fields.whole("attempt"),
        worker=fields.text("runner"),
        elapsed_us=fields.whole("elapsedUs", 0),
    )


def _attempt_ended(fields: LineFields) -> api.AttemptEnded:
    queued_ahead, warmth = divmod(fields.whole("remark", 0), WARMTH_VALUES)
    return api.AttemptEnded(
        call=fields.whole("req"),
        attempt=fields.whole("attempt"),
        worker=fields.text("runner"),
        result=fields.member("how", RESULTS),
        elapsed_us=fields.whole("elapsedUs", 0),
        call_ended=fields.text("ended", "0") == "1",
        warmth=WARMTHS.get(warmth, api.Warmth.UNKNOWN),
        queued_ahead=queued_ahead,
        report=fields.report(),
    )


def _health_check_ended(fields: LineFields) -> api.HealthCheckEnded:
    return api.HealthCheckEnded(
        worker=fields.text("runner"),
        result=fields.member("how", RESULTS),
        elapsed_us=fields.whole("elapsedUs", 0),
        report=fields.report(),
    )


def _load_request_ended(fields: LineFields) -> api.LoadRequestEnded:
    return api.LoadRequestEnded(
        worker=fields.text("runner"),
        function=fields.text("model"),
        result=fields.member("how", RESULTS),
        elapsed_us=fields.whole("elapsedUs", 0),
        copies=fields.whole("count", 0),
    )


def _peer_message(fields: LineFields) -> api.PeerMessage:
    content = fields.text("content", EMPTY)
    peer = fields.whole("neighbour")
    return api.PeerMessage(peer, b"" if content == EMPTY else base64.b64decode(content))


EVENT_DECODERS: dict[str, Callable[[LineFields], api.Event]] = {
    "WAKE": _timer_fired,
    "ARRIVAL": _call_arrived,
    "EXPIRED": _call_expired,
    "ESTABLISHED": _stream_started,
    "SETTLED": _attempt_ended,
    "HEALTH": _health_check_ended,
    "HELD_NOW": _load_request_ended,
    "MEMO": _peer_message,
}
"""The decoder of each message but the worker list, by its name."""


def _set_timer(who: str, action: api.SetTimer) -> str:
    return f"AFTER who={who} timeUs={action.due_us} mark={action.token}"


def _send_attempt(who: str, action: api.SendAttempt) -> str:
    return f"CALL_OUT who={who} req={action.call} giveUpAfterUs={action.timeout_us} runner={action.worker}"


def _request_load(who: str, action: api.RequestLoad) -> str:
    return f"ENSURE who={who} runner={action.worker} model={action.function} count={action.copies}"


def _reject_call(who: str, action: api.RejectCall) -> str:
    return f"TURN_AWAY who={who} req={action.call} retryAfterUs={action.retry_after_us}"


def _fail_call(who: str, action: api.FailCall) -> str:
    return f"FINISH_ERROR who={who} req={action.call}"


def _cancel_attempt(who: str, action: api.CancelAttempt) -> str:
    return f"RECALL who={who} req={action.call} attempt={action.attempt}"


def _send_health_check(who: str, action: api.SendHealthCheck) -> str:
    return f"HEALTH_CHECK who={who} runner={action.worker}"


def _request_unload(who: str, action: api.RequestUnload) -> str:
    return f"SHELVE who={who} runner={action.worker} model={action.function}"


def _send_to_peer(who: str, action: api.SendToPeer) -> str:
    content = base64.b64encode(action.content).decode() or EMPTY
    return f"ANNOUNCE who={who} whom={action.peer} content={content}"


def _close_idle_connections(who: str, action: api.CloseIdleConnections) -> str:
    return f"DISCONNECT who={who} runner={action.worker}"


def _watch_endpoints(who: str, _action: api.WatchEndpoints) -> str:
    return f"SUBSCRIBE who={who} want=1"


def _fetch_endpoints(who: str, _action: api.FetchEndpoints) -> str:
    return f"PULL who={who}"


def _write_log(who: str, action: api.WriteLog) -> str:
    return f"LOG who={who} what={action.text}"


ACTION_ENCODERS: dict[type, Callable[[str, Any], str]] = {
    api.SetTimer: _set_timer,
    api.SendAttempt: _send_attempt,
    api.RequestLoad: _request_load,
    api.RejectCall: _reject_call,
    api.FailCall: _fail_call,
    api.CancelAttempt: _cancel_attempt,
    api.SendHealthCheck: _send_health_check,
    api.RequestUnload: _request_unload,
    api.SendToPeer: _send_to_peer,
    api.CloseIdleConnections: _close_idle_connections,
    api.WatchEndpoints: _watch_endpoints,
    api.FetchEndpoints: _fetch_endpoints,
    api.WriteLog: _write_log,
}
"""The encoder of each kind of action."""
