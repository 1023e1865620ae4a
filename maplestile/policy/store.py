"""The last committed epoch of one router, on disk: whole or not at all, with a checksum."""

import hashlib
import json
import logging
import os
from pathlib import Path

from maplestile.policy.document import Adopted, PolicyError, document_of

log = logging.getLogger("maplestile.policy")
VERSION, NAME = 1, "policy.json"


def read(folder: Path) -> Adopted | None:
    """None where there is none, or none of use, which is logged: the router then waits for its fleet."""
    try:
        told = json.loads((folder / NAME).read_bytes())
        body = told["body"]
        if told["version"] != VERSION or told["sum"] != _sum(body):
            raise ValueError("another version, or not as it was written")
        epoch = body["epoch"]
        if type(epoch) is not int or epoch < 0:
            raise ValueError("its epoch is no number")
        return Adopted(epoch, document_of(body["document"]))
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError, PolicyError) as fault:
        log.warning("policy: the record in %s is of no use: %s", folder, fault)
        return None


def write(folder: Path, record: Adopted) -> None:
    """Raises OSError; the record before then stands."""
    body = {"epoch": record.epoch, "document": record.document and record.document.tables()}
    told = json.dumps({"version": VERSION, "sum": _sum(body), "body": body}).encode()
    folder.mkdir(parents=True, exist_ok=True)
    beside = folder / f"{NAME}.new"
    with beside.open("wb") as file:
        file.write(told)
        file.flush()
        os.fsync(file.fileno())
    beside.replace(folder / NAME)
    entry = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(entry)  # guards the new name against a power cut
    finally:
        os.close(entry)


def _sum(body: object) -> str:
    return hashlib.blake2b(json.dumps(body, sort_keys=True).encode(), digest_size=16).hexdigest()
