"""The line protocol of the simulator: decodes events, settings and list entries, and encodes actions."""

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
WARMTH_VALUES = 8  # the field `remark` holds `queued_ahead` * WARMTH_VALUES + warmth
EMPTY = "-"  # encodes empty bytes
MAX_SHOWN_CHARACTERS = 40  # of a line, in an error text

T = TypeVar("T")


class WireError(Exception):
    """A line that cannot be decoded; the error text names the field."""


class LineFields:
    """The message name and name=value fields of one line; reading a bad field raises `WireError`."""

    def __init__(self, line: str, text_field: str = "") -> None:
        """Parse a line; the value of `text_field`, if given, may hold spaces and extends to the end."""
        self.name, _, pairs = line.partition(" ")
        self.values: dict[str, str] = {}
        if text_field:
            self._parse_with_text(pairs, text_field)
        else:  # without spaces in values, as in most lines, parsing is faster
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
            raise WireError(f"{self.name}: field '{name}' is not a number") from None

    def integer(self, name: str, default: int | None = None) -> int:
        """Return the value of a field as an integer."""
        if name not in self.values and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError:
            raise WireError(f"{self.name}: field '{name}' is not an integer") from None

    def choice(self, name: str, choices: Mapping[str, T]) -> T:
        """Return the choice that the value of a field stands for."""
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
            raise WireError(f"{self.name}: field 'usage' is not a list of name:number pairs") from None

    def _parse(self, pairs: str) -> None:
        for pair in pairs.split(" ") if pairs else ():
            name, equals, value = pair.partition("=")
            if not equals or not name:
                raise self._pair_error(pair)
            self.values[name] = value

    def _parse_with_text(self, pairs: str, text_field: str) -> None:
        rest = pairs
        while rest:
            name, equals, after = rest.partition("=")
            if not equals or " " in name or not name:
                raise self._pair_error(rest)
            if name == text_field:
                self.values[name] = after
                return
            self.values[name], _, rest = after.partition(" ")

    def _pair_error(self, text: str) -> WireError:
        return WireError(f"{self.name}: expected name=value at '{text[:MAX_SHOWN_CHARACTERS]}'")


def settings_from(text: str) -> api.Settings:
    """Parse the settings in a `BEGIN` line; raises `WireError`."""
    try:
        return settings.settings_from(json.loads(text))
    except json.JSONDecodeError:
        raise WireError("BEGIN: field 'params' is not valid JSON") from None
    except settings.SettingsError as error:
        raise WireError(f"BEGIN: field 'params' {error}") from None


def entry_from(line: str) -> api.WorkerEntry:
    """Parse one line of a worker list; raises `WireError`."""
    fields = LineFields(line)
    return api.WorkerEntry(
        worker=fields.text("runner"),
        zone=fields.text("dc", ""),
        kind=fields.text("model", ""),
        cell=fields.integer("bay", 0),
        state=fields.choice("availability", WORKER_STATES),
        weight=fields.number("heft", 1.0),
        started_us=fields.integer("cameUpUs", 0),
    )


def event_from(fields: LineFields, entries: tuple[api.WorkerEntry, ...] = ()) -> api.Event | None:
    """Return the event of a line, or None for an unknown message; raises `WireError`.

    `entries` are the list entries in the lines that follow a ROSTER_CHANGE line.
    """
    if fields.name == "ROSTER_CHANGE":
        kind = fields.choice("how", LIST_KINDS)
        return api.WorkerListReceived(kind, fields.integer("index", 0), entries)
    decode = EVENT_DECODERS.get(fields.name)
    return None if decode is None else decode(fields)


def action_line(router: str, action: api.Action) -> str:
    """Return the line for an action of the dispatcher of the simulated router `router`."""
    return ACTION_ENCODERS[type(action)](router, action)


def _decode_timer_fired(fields: LineFields) -> api.TimerFired:
    return api.TimerFired(fields.integer("mark"))


def _decode_call_arrived(fields: LineFields) -> api.CallArrived:
    return api.CallArrived(
        call=fields.integer("req"),
        function=fields.text("model", ""),
        class_name=fields.text("grade"),
        budget_us=fields.integer("timeBudgetUs"),
        memory_mb=fields.number("footprintMb", 0.0),
        lanes=int(fields.number("width", 1.0)),
        cost_us=fields.integer("costGuessUs", 0),
        tenant=fields.text("party", "").removeprefix("0"),
        repeat=fields.text("isRetry", "0") == "1",
    )


def _decode_call_expired(fields: LineFields) -> api.CallExpired:
    return api.CallExpired(fields.integer("req"))


def _decode_stream_started(fields: LineFields) -> api.StreamStarted:
    return api.StreamStarted(
        call=fields.integer("req"),
        attempt=fields.integer("attempt"),
        worker=fields.text("runner"),
        elapsed_us=fields.integer("elapsedUs", 0),
    )


def _decode_attempt_ended(fields: LineFields) -> api.AttemptEnded:
    queued_ahead, warmth = divmod(fields.integer("remark", 0), WARMTH_VALUES)
    return api.AttemptEnded(
        call=fields.integer("req"),
        attempt=fields.integer("attempt"),
        worker=fields.text("runner"),
        result=fields.choice("how", RESULTS),
        elapsed_us=fields.integer("elapsedUs", 0),
        call_ended=fields.text("ended", "0") == "1",
        warmth=WARMTHS.get(warmth, api.Warmth.UNKNOWN),
        queued_ahead=queued_ahead,
        report=fields.report(),
    )


def _decode_health_check_ended(fields: LineFields) -> api.HealthCheckEnded:
    return api.HealthCheckEnded(
        worker=fields.text("runner"),
        result=fields.choice("how", RESULTS),
        elapsed_us=fields.integer("elapsedUs", 0),
        report=fields.report(),
    )


def _decode_load_request_ended(fields: LineFields) -> api.LoadRequestEnded:
    return api.LoadRequestEnded(
        worker=fields.text("runner"),
        function=fields.text("model"),
        result=fields.choice("how", RESULTS),
        elapsed_us=fields.integer("elapsedUs", 0),
        copies=fields.integer("count", 0),
    )


def _decode_peer_message(fields: LineFields) -> api.PeerMessage:
    content = fields.text("content", EMPTY)
    peer = fields.integer("neighbour")
    return api.PeerMessage(peer, b"" if content == EMPTY else base64.b64decode(content))


EVENT_DECODERS: dict[str, Callable[[LineFields], api.Event]] = {
    "WAKE": _decode_timer_fired,
    "ARRIVAL": _decode_call_arrived,
    "EXPIRED": _decode_call_expired,
    "ESTABLISHED": _decode_stream_started,
    "SETTLED": _decode_attempt_ended,
    "HEALTH": _decode_health_check_ended,
    "HELD_NOW": _decode_load_request_ended,
    "MEMO": _decode_peer_message,
}
"""The decoder of each message other than the worker list, by its name."""


def _encode_set_timer(router: str, action: api.SetTimer) -> str:
    return f"AFTER who={router} timeUs={action.due_us} mark={action.token}"


def _encode_send_attempt(router: str, action: api.SendAttempt) -> str:
    return f"CALL_OUT who={router} req={action.call} giveUpAfterUs={action.timeout_us} runner={action.worker}"


def _encode_request_load(router: str, action: api.RequestLoad) -> str:
    return f"ENSURE who={router} runner={action.worker} model={action.function} count={action.copies}"


def _encode_reject_call(router: str, action: api.RejectCall) -> str:
    return f"TURN_AWAY who={router} req={action.call} retryAfterUs={action.retry_after_us}"


def _encode_fail_call(router: str, action: api.FailCall) -> str:
    return f"FINISH_ERROR who={router} req={action.call}"


def _encode_cancel_attempt(router: str, action: api.CancelAttempt) -> str:
    return f"RECALL who={router} req={action.call} attempt={action.attempt}"


def _encode_send_health_check(router: str, action: api.SendHealthCheck) -> str:
    return f"HEALTH_CHECK who={router} runner={action.worker}"


def _encode_request_unload(router: str, action: api.RequestUnload) -> str:
    return f"SHELVE who={router} runner={action.worker} model={action.function}"


def _encode_send_to_peer(router: str, action: api.SendToPeer) -> str:
    content = base64.b64encode(action.content).decode() or EMPTY
    return f"ANNOUNCE who={router} whom={action.peer} content={content}"


def _encode_close_idle_connections(router: str, action: api.CloseIdleConnections) -> str:
    return f"DISCONNECT who={router} runner={action.worker}"


def _encode_watch_endpoints(router: str, _action: api.WatchEndpoints) -> str:
    return f"SUBSCRIBE who={router} want=1"


def _encode_fetch_endpoints(router: str, _action: api.FetchEndpoints) -> str:
    return f"PULL who={router}"


def _encode_write_log(router: str, action: api.WriteLog) -> str:
    return f"LOG who={router} what={action.text}"


ACTION_ENCODERS: dict[type, Callable[[str, Any], str]] = {
    api.SetTimer: _encode_set_timer,
    api.SendAttempt: _encode_send_attempt,
    api.RequestLoad: _encode_request_load,
    api.RejectCall: _encode_reject_call,
    api.FailCall: _encode_fail_call,
    api.CancelAttempt: _encode_cancel_attempt,
    api.SendHealthCheck: _encode_send_health_check,
    api.RequestUnload: _encode_request_unload,
    api.SendToPeer: _encode_send_to_peer,
    api.CloseIdleConnections: _encode_close_idle_connections,
    api.WatchEndpoints: _encode_watch_endpoints,
    api.FetchEndpoints: _encode_fetch_endpoints,
    api.WriteLog: _encode_write_log,
}
"""The encoder of each type of action."""
