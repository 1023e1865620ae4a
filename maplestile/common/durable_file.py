"""Small records on disk that are there whole or not at all: a version, a checksum, a rename."""

import hashlib
import json
import logging
import os
from pathlib import Path
from typing import Any

log = logging.getLogger("maplestile.durable")


def read(path: Path, version: int) -> Any:
    """The body; None where there is none, or none of use, which is logged."""
    try:
        told = json.loads(path.read_bytes())
        body = told["body"]
        if told["version"] != version or told["sum"] != _sum(body):
            raise ValueError("another version, or not as it was written")
        return body
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError) as fault:
        log.warning("%s is of no use: %s", path, fault)
        return None


def write(path: Path, version: int, body: Any) -> None:
    """JSON's types. Raises OSError; what stood there before then stands."""
    told = json.dumps({"version": version, "sum": _sum(body), "body": body}).encode()
    path.parent.mkdir(parents=True, exist_ok=True)
    beside = path.with_name(f"{path.name}.new")
    with beside.open("wb") as file:
        file.write(told)
        file.flush()
        os.fsync(file.fileno())
    beside.replace(path)
    entry = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(entry)  # guards the new name against a power cut
    finally:
        os.close(entry)


def _sum(body: object) -> str:
    return hashlib.blake2b(json.dumps(body, sort_keys=True).encode(), digest_size=16).hexdigest()
