"""The adapter: turns wire text into interface types and back, one `Dispatcher` for each instance."""

import base64
import json
import sys
from collections.abc import Iterator
from typing import Any, TextIO

from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.wire import settings

STATES = {
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
NOTES_PER_COUNT = 8  # the wire packs the count of like requests above a note of three bits


class WireError(Exception):
    """A wire line that cannot be understood; the text names the field."""


class Fields:
    """The name=value pairs of one line, read with a message that names the field on error."""

    def __init__(self, line: str, text_field: str = "") -> None:
        self.name, _, rest = line.partition(" ")
        self.values: dict[str, str] = {}
        if not text_field:  # no value holds a space, which most lines rely on for speed
            for pair in rest.split(" ") if rest else ():
                name, equals, value = pair.partition("=")
                if not equals or not name:
                    raise WireError(f"{self.name}: no name=value pair at '{pair[:40]}'")
                self.values[name] = value
            return
        while rest:
            name, equals, after = rest.partition("=")
            if not equals or " " in name or not name:
                raise WireError(f"{self.name}: no name=value pair at '{rest[:40]}'")
            value, _, rest = (after, "", "") if name == text_field else after.partition(" ")
            self.values[name] = value

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if value is None:
            raise WireError(f"{self.name}: field '{name}' is missing")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        if name not in self.values and default is not None:
            return default
        try:
            return float(self.text(name))
        except ValueError:
            raise WireError(f"{self.name}: field '{name}' is no number") from None

    def whole(self, name: str, default: int | None = None) -> int:
        if name not in self.values and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError:
            raise WireError(f"{self.name}: field '{name}' is no whole number") from None

    def member(self, name: str, choices: dict[str, Any]) -> Any:
        value = self.text(name)
        if value not in choices:
            raise WireError(f"{self.name}: field '{name}' has the unknown value '{value}'")
        return choices[value]

    def report(self) -> tuple[tuple[str, float], ...]:
        usage = self.values.get("usage", "")
        try:
            return tuple(
                (k, float(v)) for k, _, v in (part.partition(":") for part in usage.split(",") if part)
            )
        except ValueError:
            raise WireError(f"{self.name}: field 'usage' is no list of name:number") from None


def settings_from(text: str) -> api.Settings:
    try:
        return settings.settings_from(json.loads(text))
    except json.JSONDecodeError:
        raise WireError("BEGIN: field 'params' is no JSON object") from None
    except settings.SettingsError as fault:
        raise WireError(f"BEGIN: field 'params' {fault}") from None


def entry_from(line: str) -> api.WorkerEntry:
    f = Fields(line)
    return api.WorkerEntry(
        worker=f.text("runner"),
        zone=f.text("dc", ""),
        kind=f.text("model", ""),
        cell=f.whole("bay", 0),
        state=f.member("availability", STATES),
        weight=f.number("heft", 1.0),
        started_us=f.whole("cameUpUs", 0),
    )


def event_from(f: Fields, entries: tuple[api.WorkerEntry, ...] = ()) -> api.Event | None:
    """The event of a line, or None for a message this adapter does not know."""
    match f.name:
        case "WAKE":
            return api.TimerFired(f.whole("mark"))
        case "ROSTER_CHANGE":
            kinds = {kind.value: kind for kind in api.ListKind}
            return api.WorkerListReceived(f.member("how", kinds), f.whole("index", 0), entries)
        case "ARRIVAL":
            return api.CallArrived(
                call=f.whole("req"),
                function=f.text("model", ""),
                class_name=f.text("grade"),
                budget_us=f.whole("timeBudgetUs"),
                memory_mb=f.number("footprintMb", 0.0),
                lanes=int(f.number("width", 1.0)),
                cost_us=f.whole("costGuessUs", 0),
                tenant=f.text("party", "").removeprefix("0"),
                repeat=f.text("isRetry", "0") == "1",
            )
        case "EXPIRED":
            return api.CallExpired(f.whole("req"))
        case "ESTABLISHED":
            return api.StreamStarted(
                f.whole("req"), f.whole("attempt"), f.text("runner"), f.whole("elapsedUs", 0)
            )
        case "SETTLED":
            queued_ahead, note = divmod(f.whole("remark", 0), NOTES_PER_COUNT)
            known = {warmth.value for warmth in api.Warmth}
            return api.AttemptEnded(
                call=f.whole("req"),
                attempt=f.whole("attempt"),
                worker=f.text("runner"),
                result=f.member("how", RESULTS),
                elapsed_us=f.whole("elapsedUs", 0),
                call_ended=f.text("ended", "0") == "1",
                warmth=api.Warmth(note if note in known else 0),
                queued_ahead=queued_ahead,
                report=f.report(),
            )
        case "HEALTH":
            return api.HealthCheckEnded(
                f.text("runner"), f.member("how", RESULTS), f.whole("elapsedUs", 0), f.report()
            )
        case "HELD_NOW":
            return api.LoadRequestEnded(
                f.text("runner"),
                f.text("model"),
                f.member("how", RESULTS),
                f.whole("elapsedUs", 0),
                f.whole("count", 0),
            )
        case "MEMO":
            content = f.text("content", "-")
            return api.PeerMessage(f.whole("neighbour"), base64.b64decode("" if content == "-" else content))
    return None


def action_line(who: str, action: api.Action) -> str:
    match action:
        case api.SetTimer(due_us, token):
            return f"AFTER who={who} timeUs={due_us} mark={token}"
        case api.SendAttempt(call, worker, timeout_us):
            return f"CALL_OUT who={who} req={call} giveUpAfterUs={timeout_us} runner={worker}"
        case api.RequestLoad(worker, function, copies):
            return f"ENSURE who={who} runner={worker} model={function} count={copies}"
        case api.RejectCall(call, retry_after_us):
            return f"TURN_AWAY who={who} req={call} retryAfterUs={retry_after_us}"
        case api.FailCall(call):
            return f"FINISH_ERROR who={who} req={call}"
        case api.CancelAttempt(call, attempt):
            return f"RECALL who={who} req={call} attempt={attempt}"
        case api.SendHealthCheck(worker):
            return f"HEALTH_CHECK who={who} runner={worker}"
        case api.RequestUnload(worker, function):
            return f"SHELVE who={who} runner={worker} model={function}"
        case api.SendToPeer(peer, content):
            return f"ANNOUNCE who={who} whom={peer} content={base64.b64encode(content).decode() or '-'}"
        case api.CloseIdleConnections(worker):
            return f"DISCONNECT who={who} runner={worker}"
        case api.WatchEndpoints():
            return f"SUBSCRIBE who={who} want=1"
        case api.FetchEndpoints():
            return f"PULL who={who}"
        case api.WriteLog(text):
            return f"LOG who={who} what={text}"


class Link:
    """Reads batches, hands each event to its instance, and writes the replies."""

    def __init__(self, lines: Iterator[str], out: TextIO) -> None:
        self.lines, self.out = lines, out
        self.line_number = 0
        self.instances: dict[str, Dispatcher] = {}

    def run(self) -> None:
        while (line := self._next()) is not None:
            mark = Fields(line)
            if mark.name != "MARK":
                raise WireError(f"'{mark.name[:40]}' stands where MARK was due")
            self._batch(mark.whole("nowUs"), mark.whole("frame"))

    def _next(self) -> str | None:
        line = next(self.lines, None)
        self.line_number += line is not None
        return None if line is None else line.rstrip("\n")

    def _due(self) -> str:
        line = self._next()
        if line is None:
            raise WireError("the input ends inside a batch")
        return line

    def _batch(self, now_us: int, frame: int) -> None:
        reply: list[str] = []
        while (line := self._due()) != "FLUSH":
            f = Fields(line, "params" if line.startswith("BEGIN ") else "")
            who = f.text("who")
            if f.name == "BEGIN":
                self.instances[who] = Dispatcher(settings_from(f.text("params")), f.whole("salt"))
            elif f.name == "KILLED":
                self.instances.pop(who, None)
            else:
                count = f.whole("membersList", 0) if f.name == "ROSTER_CHANGE" else 0
                entries = tuple(entry_from(self._due()) for _ in range(count))
                event, instance = event_from(f, entries), self.instances.get(who)
                if event is not None and instance is not None:
                    reply.extend(action_line(who, action) for action in instance.handle(now_us, event))
        reply.append(f"OK frame={frame}\n")
        self.out.write("\n".join(reply))
        self.out.flush()


def main() -> int:
    link = Link(iter(sys.stdin), sys.stdout)
    try:
        link.run()
    except WireError as fault:
        print(f"line {link.line_number}: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
