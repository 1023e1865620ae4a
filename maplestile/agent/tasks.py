"""Helpers for background tasks that a polling loop starts again once they have ended."""

import asyncio
import logging

log = logging.getLogger("maplestile.policy")


def is_idle(task: asyncio.Task[None] | None) -> bool:
    """Return whether there is no task or it has ended; the error of a failed task is logged."""
    if task is None:
        return True
    if not task.done():
        return False
    if not task.cancelled() and (error := task.exception()) is not None:
        log.error("policy: a background task has failed", exc_info=error)
    return True
