"""Background tasks that a loop checks, and starts again once they have ended."""

import asyncio
import logging

log = logging.getLogger("maplestile.policy")


def is_idle(task: asyncio.Task[None] | None) -> bool:
    """Whether there is no task, or it has ended; one that has failed is logged."""
    if task is None:
        return True
    if not task.done():
        return False
    if not task.cancelled() and (fault := task.exception()) is not None:
        log.error("policy: a part has failed", exc_info=fault)
    return True
