"""Small records on disk, written atomically and read back only if their version and checksum are right.

A record is written to a temporary file beside the old one, flushed, and renamed over the old one, which is
atomic under POSIX. The folder is flushed too, because the rename is a change of the folder.
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
    """Return the body of a record, in JSON types, or None if the file is missing or invalid.

    An invalid file is logged.
    """
    try:
        return _decode(path.read_bytes(), version)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("%s is invalid and is ignored: %s", path, error)
        return None


def write(path: Path, version: int, body: Any) -> None:
    """Write a record whose body is of JSON types. Raises OSError; the old record is then kept."""
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
    """Decode a record and return its body.

    Raises ValueError, KeyError or TypeError if it is not an intact record of that version.
    """
    record = json.loads(content)
    body = record["body"]
    if record["version"] != version or record["sum"] != _checksum(body):
        raise ValueError("unsupported version or wrong checksum")
    return body


def _flush_folder(folder: Path) -> None:
    """Flush a folder, so that a new name in it survives a power failure."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _checksum(body: object) -> str:
    content = json.dumps(body, sort_keys=True).encode()
    return hashlib.blake2b(content, digest_size=CHECKSUM_BYTES).hexdigest()
