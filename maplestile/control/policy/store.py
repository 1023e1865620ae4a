"""The last committed epoch of one router, on disk."""

import logging
from pathlib import Path

from maplestile.common import durable_file as durable
from maplestile.control.policy.document import AdoptedPolicy, PolicyError, document_of

log = logging.getLogger("maplestile.policy")
VERSION, NAME = 1, "policy.json"


def read(folder: Path) -> AdoptedPolicy | None:
    """None where there is none, or none of use, which is logged: the router then waits for its fleet."""
    body = durable.read(folder / NAME, VERSION)
    if body is None:
        return None
    try:
        epoch, document = body["epoch"], document_of(body["document"])
        if type(epoch) is not int or epoch < 0:
            raise ValueError("its epoch is no number")
    except (ValueError, KeyError, TypeError, PolicyError) as fault:
        log.warning("policy: the record in %s is of no use: %s", folder, fault)
        return None
    return AdoptedPolicy(epoch, document)


def write(folder: Path, record: AdoptedPolicy) -> None:
    """Raises OSError; the record before then stands."""
    tables = None if record.document is None else record.document.tables()
    durable.write(folder / NAME, VERSION, {"epoch": record.epoch, "document": tables})
