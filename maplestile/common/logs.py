"""Logging to standard error, with a rate limit on the warnings that bad clients and peers can cause."""

import logging
import sys
import time
from dataclasses import dataclass
from typing import Any

import structlog
from structlog.typing import EventDict, Processor

from maplestile.common import standard_error
from maplestile.common.text import shortened

WINDOW_S = 10.0
MAX_PER_WINDOW = 5  # warnings of one kind that are written in a window
MAX_KINDS = 256  # kinds of warnings that are tracked at once
MAX_TRACEBACK_CHARACTERS = 20_000
EVENT_LOGGERS = "maplestile.events"  # common prefix of the loggers of structured events, written as JSON


@dataclass(slots=True)
class Window:
    """The current window of the rate limit for one kind of warning."""

    start_s: float
    count: int = 0  # warnings so far, whether written or suppressed


class RateLimit(logging.Filter):
    """Limits the number of warnings of one kind that are written in a window of WINDOW_S seconds.

    A kind is a logger name with a message text before its arguments are filled in. The first warning of the
    next window says how many were suppressed.
    """

    def __init__(self) -> None:
        super().__init__()
        self._windows: dict[tuple[str, str], Window] = {}  # by logger name and message text

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record; records that are not warnings are always written."""
        if record.levelno != logging.WARNING:
            return True
        if len(self._windows) >= MAX_KINDS:  # bounds the memory if message texts never repeat
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
    """Configure logging for this program and its libraries.

    Every record passes the rate limit and structlog's processors, and is then written to standard error.
    """
    shared: list[Processor] = [structlog.stdlib.add_log_level]
    structlog.configure(
        processors=[*shared, _add_time, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    standard_error.install()
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared, processors=[structlog.processors.format_exc_info, _render]
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def events(part: str) -> Any:
    """Return a structlog logger that writes its events as JSON lines, under the rate limit for warnings.

    `events("peers").info("suspect", member="r2")` writes `{"event": "suspect", "member": "r2", ...}`.
    """
    return structlog.get_logger(f"{EVENT_LOGGERS}.{part}")


def _kind(record: logging.LogRecord) -> str:
    message: Any = record.msg  # a string, or the dict of a structured event
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
    """Add the time of the machine's monotonic clock in microseconds, which orders events of all processes."""
    event["t_us"] = time.monotonic_ns() // 1000
    return event


_render_json = structlog.processors.JSONRenderer(sort_keys=True)


def _render_plain(_logger: Any, _method: str, event: EventDict) -> str:
    """Return `LEVEL text`, followed by the traceback of the logged exception, if any."""
    line = f"{str(event['level']).upper()} {shortened(str(event['event']))}"
    if "exception" not in event:
        return line
    return f"{line}\n{shortened(str(event['exception']), MAX_TRACEBACK_CHARACTERS)}"


def _shorten_fields(event: EventDict) -> EventDict:
    return {name: shortened(value) if isinstance(value, str) else value for name, value in event.items()}


def _render(logger: Any, method: str, event: EventDict) -> str:
    """Render a record: structured events as JSON, all others as plain text."""
    is_event = event.pop("_record").name.startswith(EVENT_LOGGERS)
    event.pop("_from_structlog", None)
    if is_event:
        return str(_render_json(logger, method, _shorten_fields(event)))
    return _render_plain(logger, method, event)
