"""Runs the blocking jobs of the policy driver, either inline or in a thread."""

import asyncio
from collections.abc import Callable

Job = Callable[[], None]
OnDone = Callable[[BaseException | None], None]

# Runs a job, and then calls `OnDone` on the event loop with the job's exception, or None if it succeeded.
RunJob = Callable[[Job, OnDone], None]


def run_inline(job: Job, on_done: OnDone) -> None:
    """Run a job in the calling thread, which blocks the event loop."""
    try:
        job()
    except OSError as error:
        on_done(error)
    else:
        on_done(None)


def run_in_thread(job: Job, on_done: OnDone) -> None:
    """Run a job in a thread, and call `on_done` on the running event loop."""
    done = asyncio.get_running_loop().run_in_executor(None, job)
    done.add_done_callback(lambda ended: on_done(ended.exception()))
