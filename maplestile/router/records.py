"""Opens the journal of invocation records, which one process at a time may use."""

import asyncio
import logging
from dataclasses import dataclass
from pathlib import Path

from maplestile.invoke.record_events import StoredInvocation
from maplestile.invoke.record_journal import RecordJournal
from maplestile.operation.state_folder import ProcessLocks
from maplestile.router.clock import POLL_S, clock
from maplestile.router.components import Components

log = logging.getLogger("maplestile")
OWNER_LOCK = "owner"
# A process that stops closes its listener before it has written its last answers.
PREDECESSOR_WAIT_US = 15_000_000


@dataclass(slots=True)
class Records:
    """The journal of this process, and what an earlier one has left in it."""

    journal: RecordJournal
    invocations: list[StoredInvocation]
    locks: ProcessLocks  # held until the process ends


async def open_records(components: Components, folder: Path | None) -> Records | None:
    """Open the journal once no other process uses it; None if records are kept in memory alone.

    That is so without a folder, or if it cannot be used, which is logged. Raises OSError if another process
    goes on using it: its records would be unknown here.
    """
    if folder is None:
        return None
    try:
        journal = RecordJournal(folder, clock, components.core.call_at, components.counters)
        locks = ProcessLocks(folder)
        has_lock = locks.acquire(OWNER_LOCK)
    except OSError as error:
        components.counters["invoke.journal_faults"] += 1
        text = "%s: deferred calls will not outlive this process: %s"
        log.error(text, components.name, error)  # noqa: TRY400 - no traceback for an expected error
        return None
    give_up_us = clock() + PREDECESSOR_WAIT_US
    while not has_lock:
        if clock() >= give_up_us or components.stopping.is_set():
            raise OSError(f"{folder} is in use by another process")
        await asyncio.sleep(POLL_S)
        has_lock = locks.acquire(OWNER_LOCK)
    invocations = journal.load()
    if invocations:
        log.info("%s: %d invocations of an earlier process are kept", components.name, len(invocations))
    return Records(journal, invocations, locks)
