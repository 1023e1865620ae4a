"""A voter's snapshot: the whole replicated state, which replaces the entries of the log that led to it.

The file is gzip of two lines of JSON: a header with the form's version and a checksum of the second line, and
the content: the state in its wire form, and the last two entries in it, from which the log goes on.

Earlier releases let pysyncobj write its own form, a pickle, which lacked the state. Such a snapshot is
recognised and refused: it would make an empty fleet of whatever the voters had agreed on.
"""

import binascii
import gzip
import hashlib
import json
import os
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.state import ControlState

FORM = "maplestile-snapshot"
VERSION = 1
CHECKSUM_BYTES = 16
COMPRESSION_LEVEL = 1  # the event loop waits for the compression
PICKLE_START = b"\x80"  # of the pickles that earlier releases wrote

LogEntry = tuple[bytes, int, int]
"""An entry of the library's log: the command as the library encodes it, its index, and its term."""


class SnapshotError(CommandRejected):
    """A snapshot that cannot be used; the text names the file and the reason."""


class EarlierReleaseSnapshot(SnapshotError):
    """A snapshot of an earlier release, which lacks the replicated state."""


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The state as of an entry of the log."""

    state: ControlState
    last_entry: LogEntry  # the last that the state contains
    previous_entry: LogEntry


def write(path: Path, snapshot: Snapshot) -> None:
    """Write a snapshot and flush it to the disk. Raises OSError."""
    content = {
        "state": snapshot.state.encoded(),
        "entries": [_encode_entry(entry) for entry in (snapshot.last_entry, snapshot.previous_entry)],
    }
    line = json.dumps(content, separators=(",", ":")).encode()
    header = {"form": FORM, "version": VERSION, "sum": _checksum(line)}
    with path.open("wb") as file:
        with gzip.GzipFile(fileobj=file, mode="wb", compresslevel=COMPRESSION_LEVEL) as compressed:
            compressed.write(json.dumps(header).encode() + b"\n" + line + b"\n")
        file.flush()
        os.fsync(file.fileno())


def read(path: Path) -> Snapshot:
    """Read a snapshot. Raises SnapshotError, or EarlierReleaseSnapshot, if it cannot be used, or OSError."""
    header_line, _, line = _decompressed(path).partition(b"\n")
    if header_line.startswith(PICKLE_START):
        raise EarlierReleaseSnapshot(
            f"{path}: written by an earlier release, whose snapshots lack what the voters had agreed on"
        )
    line = line.removesuffix(b"\n")
    _check_header(path, header_line, line)
    try:
        content = json.loads(line)
        last, previous = (_decode_entry(entry) for entry in content["entries"])
        return Snapshot(ControlState.decode(content["state"]), last, previous)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise SnapshotError(f"{path}: not a state of this release: {error!r:.200}") from None


def _decompressed(path: Path) -> bytes:
    try:
        with gzip.open(path) as file:
            content = file.read()
    except (gzip.BadGzipFile, EOFError, zlib.error) as error:
        raise SnapshotError(f"{path}: not whole: {error}") from None
    if not content:
        raise SnapshotError(f"{path}: not whole: there is nothing in it")
    return content


def _check_header(path: Path, header_line: bytes, line: bytes) -> None:
    """Raise SnapshotError unless the header is of this form and version, and matches the content."""
    try:
        header = json.loads(header_line)
        form, version, checksum = header["form"], header["version"], header["sum"]
    except (ValueError, KeyError, TypeError, RecursionError):
        raise SnapshotError(f"{path}: no snapshot of a voter") from None
    if form != FORM:
        raise SnapshotError(f"{path}: no snapshot of a voter")
    if version != VERSION:
        raise SnapshotError(f"{path}: version {version!r:.20}, and this release reads version {VERSION}")
    if checksum != _checksum(line):
        raise SnapshotError(f"{path}: not whole: its checksum does not match")


def _encode_entry(entry: LogEntry) -> list[Any]:
    command, index, term = entry
    return [binascii.b2a_base64(command, newline=False).decode(), index, term]


def _decode_entry(encoded: list[Any]) -> LogEntry:
    command, index, term = encoded
    return binascii.a2b_base64(command), int(index), int(term)


def _checksum(line: bytes) -> str:
    return hashlib.blake2b(line, digest_size=CHECKSUM_BYTES).hexdigest()
