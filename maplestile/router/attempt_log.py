"""Logs repeated attempts of calls with an idempotency key, whose repeats are bound to a window."""

from maplestile.common import logs
from maplestile.requests.attempts import RepeatedAttempt

events = logs.events("attempts")


def log_repeated(attempt: RepeatedAttempt) -> None:
    """Log an attempt after the first of its call, if the call has a key; limited as warnings are."""
    request = attempt.request
    if not request.key:
        return
    events.warning(
        "keyed call repeated",
        call=request.tag,
        call_class=request.class_name,
        attempt=attempt.number,
        worker=attempt.worker,
        after=attempt.after,
        since_first_us=attempt.since_first_us,
    )
