"""The log on standard error, with a bound on what bad clients and peers can have written there."""

import logging
import sys
import time

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


def start() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", handlers=[handler])
