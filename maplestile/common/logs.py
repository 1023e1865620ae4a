"""The log on standard error, with a bound on what bad clients and peers can have written there."""

import logging
import sys
import time
from typing import Any

import structlog
from structlog.typing import EventDict, Processor

WINDOW_S, MOST, KINDS_MOST = 10.0, 5, 256


class RateLimit(logging.Filter):
    """Lets so many warnings of one kind through in a window; the first of the next tells of the rest."""

    def __init__(self) -> None:
        super().__init__()
        self.kinds: dict[tuple[str, str], list[float]] = {}  # when the window began, and how many came in it

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno != logging.WARNING:
            return True
        if len(self.kinds) >= KINDS_MOST:  # guards memory against kinds that are all different
            self.kinds.clear()
        now = time.monotonic()
        told: Any = record.msg  # a text, or the fields of a structured event
        event = told.get("event", "") if isinstance(told, dict) else told
        kind = self.kinds.setdefault((record.name, event), [now, 0])
        if now - kind[0] >= WINDOW_S:
            kept_back = int(kind[1]) - MOST
            if kept_back > 0 and isinstance(told, dict):
                told["not_shown"] = kept_back
            elif kept_back > 0:
                record.msg = f"{told} (and {kept_back} more like it, not shown)"
            kind[:] = [now, 0]
        kind[1] += 1
        return kind[1] <= MOST


EVENTS = "maplestile.events"  # the loggers of structured events, whose lines are JSON alone


def _monotonic(_: Any, __: str, told: EventDict) -> EventDict:
    told["t_us"] = time.monotonic_ns() // 1000  # one clock for all processes of a machine, for the checkers
    return told


def _plain(_: Any, __: str, told: EventDict) -> str:
    """`LEVEL text`, and below it the traceback of what failed, if any."""
    line = f"{str(told['level']).upper()} {told['event']}"
    return f"{line}\n{told['exception']}" if "exception" in told else line


_json = structlog.processors.JSONRenderer(sort_keys=True)


def _render(logger: Any, name: str, told: EventDict) -> str:
    """The one end of all lines: events as JSON, the rest as plain text."""
    event = told.pop("_record").name.startswith(EVENTS)
    told.pop("_from_structlog", None)
    return str((_json if event else _plain)(logger, name, told))


def start() -> None:
    """Everything, of this program and of its libraries, goes this one way: the rate limit, then structlog's
    processors, then standard error."""
    shared: list[Processor] = [structlog.stdlib.add_log_level]
    structlog.configure(
        processors=[*shared, _monotonic, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
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
    """A structlog logger whose events are JSON lines, rate limit and all:
    `events("peers").info("suspect", member="r2")` writes `{"event": "suspect", "member": "r2", ...}`."""
    return structlog.get_logger(f"{EVENTS}.{part}")
