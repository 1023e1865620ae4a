"""Stores the last committed epoch of one router on disk."""

import logging
from pathlib import Path
from typing import Any

from maplestile.common import durable_file as durable
from maplestile.control.policy.document import AdoptedPolicy, PolicyError, decode_document

log = logging.getLogger("maplestile.policy")

RECORD_VERSION = 1
FILE_NAME = "policy.json"


def read(folder: Path) -> AdoptedPolicy | None:
    """Return the stored epoch, or None if there is none or it is invalid.

    An invalid one is logged. Without a stored epoch the router waits for its agent to announce one.
    """
    record = durable.read(folder / FILE_NAME, RECORD_VERSION)
    if record is None:
        return None
    try:
        return _decode(record)
    except (ValueError, KeyError, TypeError, PolicyError) as error:
        log.warning("policy: ignoring the invalid record of the last epoch in %s: %s", folder, error)
        return None


def _decode(record: Any) -> AdoptedPolicy:
    epoch = record["epoch"]
    document = decode_document(record["document"])
    if type(epoch) is not int or epoch < 0:
        raise ValueError("its epoch is not a non-negative integer")
    return AdoptedPolicy(epoch, document)


def write(folder: Path, adopted: AdoptedPolicy) -> None:
    """Store an epoch. Raises OSError, in which case the previous record stays."""
    tables = None if adopted.document is None else adopted.document.tables()
    durable.write(folder / FILE_NAME, RECORD_VERSION, {"epoch": adopted.epoch, "document": tables})
