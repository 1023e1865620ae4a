"""Background tasks whose failure is seen when they end, not when their result is asked for, if ever."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, TypeVar

log = logging.getLogger(__name__)
Result = TypeVar("Result")


def start_task(coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
    """Start a task in the running event loop; an exception that ends it is logged and counted.

    It is counted as an error of the event loop (see `LoopErrorReporter`).
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_report_failure)
    return task


def _report_failure(task: asyncio.Task[Any]) -> None:
    if task.cancelled() or (error := task.exception()) is None:
        return
    name = getattr(task.get_coro(), "__qualname__", task.get_name())
    context = {"message": f"task {name} failed", "exception": error}
    task.get_loop().call_exception_handler(context)
