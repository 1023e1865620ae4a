"""The log on standard error, with a bound on what bad clients and peers can have written there."""

import logging
import sys
import time
from dataclasses import dataclass
from typing import Any

import structlog
from structlog.typing import EventDict, Processor

WINDOW_S = 10.0
MAX_PER_WINDOW = 5
MAX_KINDS = 256
EVENT_LOGGERS = "maplestile.events"  # the loggers of structured events, whose lines are JSON alone


@dataclass(slots=True)
class Window:
    """When a window began, and how many warnings of a kind came in it."""

    start_s: float
    count: int = 0


class RateLimit(logging.Filter):
    """Passes a bounded number of warnings of one kind in a window.

    The first of the next window says how many were suppressed.
    """

    def __init__(self) -> None:
        super().__init__()
        self._windows: dict[tuple[str, str], Window] = {}  # by the logger's name and the warning's text

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is to be written."""
        if record.levelno != logging.WARNING:
            return True
        if len(self._windows) >= MAX_KINDS:  # bounds memory against kinds that are all different
            self._windows.clear()
        now = time.monotonic()
        window = self._windows.setdefault((record.name, _kind(record)), Window(now))
        if now - window.start_s >= WINDOW_S:
            _note_suppressed(record, window.count - MAX_PER_WINDOW)
            window.start_s = now
            window.count = 0
        window.count += 1
        return window.count <= MAX_PER_WINDOW


def start() -> None:
    """Configure the log of this program and of its libraries, for the rest of the process.

    Every line goes through the rate limit, then structlog's processors, and then to standard error.
    """
    shared: list[Processor] = [structlog.stdlib.add_log_level]
    structlog.configure(
        processors=[*shared, _add_time, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared, processors=[structlog.processors.format_exc_info, _render]
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def events(part: str) -> Any:
    """Return a structlog logger whose events are JSON lines, with the rate limit of all others.

    `events("peers").info("suspect", member="r2")` writes `{"event": "suspect", "member": "r2", ...}`.
    """
    return structlog.get_logger(f"{EVENT_LOGGERS}.{part}")


def _kind(record: logging.LogRecord) -> str:
    message: Any = record.msg  # a text, or the fields of a structured event
    return str(message.get("event", "")) if isinstance(message, dict) else message


def _note_suppressed(record: logging.LogRecord, suppressed: int) -> None:
    if suppressed <= 0:
        return
    message: Any = record.msg
    if isinstance(message, dict):
        message["not_shown"] = suppressed
    else:
        record.msg = f"{message} (and {suppressed} more like it, not shown)"


def _add_time(_logger: Any, _method: str, event: EventDict) -> EventDict:
    """Add the monotonic clock, one for all processes of a machine, by which checkers order events."""
    event["t_us"] = time.monotonic_ns() // 1000
    return event


_render_json = structlog.processors.JSONRenderer(sort_keys=True)


def _render_plain(_logger: Any, _method: str, event: EventDict) -> str:
    """Return `LEVEL text`, and below it the traceback of what failed, if any."""
    line = f"{str(event['level']).upper()} {event['event']}"
    return f"{line}\n{event['exception']}" if "exception" in event else line


def _render(logger: Any, method: str, event: EventDict) -> str:
    """Return the line of a record: structured events as JSON, the rest as plain text."""
    is_event = event.pop("_record").name.startswith(EVENT_LOGGERS)
    event.pop("_from_structlog", None)
    return str((_render_json if is_event else _render_plain)(logger, method, event))
