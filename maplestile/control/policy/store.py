"""The last committed epoch of one router, on disk."""

import logging
from pathlib import Path
from typing import Any

from maplestile.common import durable_file as durable
from maplestile.control.policy.document import AdoptedPolicy, PolicyError, document_of

log = logging.getLogger("maplestile.policy")

VERSION = 1
NAME = "policy.json"


def read(folder: Path) -> AdoptedPolicy | None:
    """The stored epoch.

    None where there is none, or none that can be used, which is logged: the router then waits for its agent.
    """
    record = durable.read(folder / NAME, VERSION)
    if record is None:
        return None
    try:
        return _decode(record)
    except (ValueError, KeyError, TypeError, PolicyError) as fault:
        log.warning("policy: the record in %s is of no use: %s", folder, fault)
        return None


def _decode(record: Any) -> AdoptedPolicy:
    epoch = record["epoch"]
    document = document_of(record["document"])
    if type(epoch) is not int or epoch < 0:
        raise ValueError("its epoch is no number")
    return AdoptedPolicy(epoch, document)


def write(folder: Path, adopted: AdoptedPolicy) -> None:
    """Store an epoch. Raises OSError, and leaves the stored one in place."""
    tables = None if adopted.document is None else adopted.document.tables()
    durable.write(folder / NAME, VERSION, {"epoch": adopted.epoch, "document": tables})
