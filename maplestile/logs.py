"""The log on standard error, with a bound on what bad clients and peers can have written there."""

import logging
import sys
import time
from collections.abc import MutableMapping
from typing import Any

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
        kind = self.kinds.setdefault((record.name, record.msg), [now, 0])
        if now - kind[0] >= WINDOW_S:
            kept_back = int(kind[1]) - MOST
            if kept_back > 0:
                record.msg = f"{record.msg} (and {kept_back} more like it, not shown)"
            kind[:] = [now, 0]
        kind[1] += 1
        return kind[1] <= MOST


EVENTS = "maplestile.events"  # the loggers of structured events, whose lines are JSON alone


class Lines(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        if record.name.startswith(EVENTS):
            return record.getMessage()
        return super().format(record)


def start() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    handler.setFormatter(Lines("%(levelname)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def _monotonic(_: Any, __: str, told: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    told["t_us"] = time.monotonic_ns() // 1000  # one clock for all processes of a machine, for the checkers
    return told


def events(part: str) -> Any:
    """A structlog logger whose events are JSON lines on the same path as the rest, rate limit and all:
    `events("peers").info("suspect", member="r2")` writes `{"event": "suspect", "member": "r2", ...}`."""
    import structlog  # loaded only by the parts that log events, so the platform's node needs none of it

    if not structlog.is_configured():
        structlog.configure(
            processors=[
                structlog.stdlib.add_log_level,
                _monotonic,
                structlog.processors.JSONRenderer(sort_keys=True),
            ],
            logger_factory=structlog.stdlib.LoggerFactory(),
            wrapper_class=structlog.stdlib.BoundLogger,
            cache_logger_on_first_use=True,
        )
    return structlog.get_logger(f"{EVENTS}.{part}")
