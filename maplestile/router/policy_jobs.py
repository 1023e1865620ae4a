"""Where the policy driver's blocking work runs: at once, or in a thread away from the event loop."""

import asyncio
from collections.abc import Callable

Job = Callable[[], None]
OnEnd = Callable[[BaseException | None], None]

# Runs the job, away from the loop or not, and then on the loop `OnEnd` with its failure, if it has failed.
RunJob = Callable[[Job, OnEnd], None]


def at_once(job: Job, on_end: OnEnd) -> None:
    """Run a job here and now."""
    try:
        job()
    except OSError as fault:
        on_end(fault)
    else:
        on_end(None)


def in_thread(job: Job, on_end: OnEnd) -> None:
    """Run a job in a thread, and its end on the running loop."""
    done = asyncio.get_running_loop().run_in_executor(None, job)
    done.add_done_callback(lambda ended: on_end(ended.exception()))
