"""Small records on disk that are there whole or not at all: a version, a checksum, a rename.

A record is written beside the old one, flushed, and renamed over it, which POSIX makes atomic; the folder is
flushed as well, since the rename is an entry of it.
"""

import hashlib
import json
import logging
import os
from pathlib import Path
from typing import Any

log = logging.getLogger("maplestile.durable")
CHECKSUM_BYTES = 16


def read(path: Path, version: int) -> Any:
    """The body of a record, in JSON's types; None where there is none, or none of use, which is logged."""
    try:
        return _decode(path.read_bytes(), version)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError) as fault:
        log.warning("%s is of no use: %s", path, fault)
        return None


def write(path: Path, version: int, body: Any) -> None:
    """Write a record of JSON's types. Raises OSError; what stood there before then stands."""
    content = json.dumps({"version": version, "sum": _checksum(body), "body": body}).encode()
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f"{path.name}.new")
    with temporary.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _flush_folder(path.parent)


def _decode(content: bytes, version: int) -> Any:
    """Raises ValueError, KeyError or TypeError for content that is no whole record of that version."""
    record = json.loads(content)
    body = record["body"]
    if record["version"] != version or record["sum"] != _checksum(body):
        raise ValueError("another version, or not as it was written")
    return body


def _flush_folder(folder: Path) -> None:
    """Guards a new name in the folder against a power cut."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _checksum(body: object) -> str:
    content = json.dumps(body, sort_keys=True).encode()
    return hashlib.blake2b(content, digest_size=CHECKSUM_BYTES).hexdigest()
