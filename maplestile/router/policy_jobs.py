"""Where the policy driver's blocking work runs: at once, or in a thread away from the event loop."""

import asyncio
from collections.abc import Callable

Job = Callable[[], None]
OnDone = Callable[[BaseException | None], None]

# Runs the job, away from the loop or not, and then on the loop `OnEnd` with its failure, if it has failed.
RunJob = Callable[[Job, OnDone], None]


def run_inline(job: Job, on_done: OnDone) -> None:
    """Run a job here and now."""
    try:
        job()
    except OSError as error:
        on_done(error)
    else:
        on_done(None)


def run_in_thread(job: Job, on_done: OnDone) -> None:
    """Run a job in a thread, and its end on the running loop."""
    done = asyncio.get_running_loop().run_in_executor(None, job)
    done.add_done_callback(lambda ended: on_done(ended.exception()))
