"""What a voter has on disk, looked at before it takes part.

The library takes a journal as it finds it: one that was cut ended the control plane with no word, and one
with other bytes in it made its voter win each election with a term out of nowhere, and an empty state for
all. So a folder is taken whole or not at all, and the place that is wrong is named.

    journal         a head of 40 bytes, then records: size, index, term, command, size again
    journal.meta    the term of the voter, and whom it voted for in it
    snapshot        gzip, with the sum of its content
    voter           whose folder it is, by this program"""

import gzip
import pickle
import struct
import zlib
from pathlib import Path
from typing import NoReturn

from maplestile.common import durable_file as durable
from maplestile.common.errors import CommandRejected

HEAD, NAME, FORMAT = 40, b"PYSYNCOBJ", 1
AT_FORMAT, AT_END = 32, 36  # in the head
SIZE, INDEX = struct.Struct("<I"), struct.Struct("<QQ")
TERM_MOST = 1 << 40  # elections: one each millisecond of 30 years
VOTER, VERSION = "voter", 1
READ_BYTES = 1 << 16


class Plain(pickle.Unpickler):
    """Numbers and texts in a table, and nothing that could run."""

    def find_class(self, module: str, name: str) -> NoReturn:
        raise pickle.UnpicklingError(f"{module}.{name}")


def check(folder: Path, voter: str) -> None:
    """Check that the folder is this voter's. Raises CommandRejected, which names the place, or OSError."""
    told = durable.read(folder / VOTER, VERSION)
    if told is not None and told != voter:
        raise CommandRejected(f"{folder / VOTER}: the folder is of voter '{told}'")
    journal, meta, snapshot = (folder / name for name in ("journal", "journal.meta", "snapshot"))
    if journal.exists():
        last_term = _journal(journal)
        term = _meta(meta)
        if last_term > term:
            raise CommandRejected(
                f"{meta}: its term is {term}, and the journal has one of {last_term}: it is stale"
            )
    elif meta.exists() or snapshot.exists():
        raise CommandRejected(f"{journal}: is missing beside what belongs to it")
    if snapshot.exists():
        _snapshot(snapshot)
    if told is None:
        durable.write(folder / VOTER, VERSION, voter)


def _journal(path: Path) -> int:
    """The term of its last record; 0 if it has none."""
    data = path.read_bytes()
    if len(data) < HEAD or not data.startswith(NAME) or SIZE.unpack_from(data, AT_FORMAT)[0] != FORMAT:
        raise CommandRejected(f"{path}: no journal of this form")
    end, at, index, term = SIZE.unpack_from(data, AT_END)[0], HEAD, 0, 0
    if not HEAD <= end <= len(data):
        raise CommandRejected(f"{path}: {len(data)} bytes, and its records end at {end}: it was cut")
    while at < end:
        size = SIZE.unpack_from(data, at)[0] if at + SIZE.size <= end else 0
        after = at + SIZE.size + size
        if size < INDEX.size or after + SIZE.size > end or SIZE.unpack_from(data, after)[0] != size:
            raise CommandRejected(f"{path}: byte {at}: a record that is not whole")
        before = index, term
        index, term = INDEX.unpack_from(data, at + SIZE.size)
        if (before[0] and index != before[0] + 1) or not before[1] <= term < TERM_MOST:
            raise CommandRejected(
                f"{path}: byte {at}: entry {index} of term {term} after {before[0]} of {before[1]}"
            )
        at = after + SIZE.size
    return term


def _meta(path: Path) -> int:
    """The term that the voter was in; 0 if it has been in none. The library takes a damaged file for that,
    and might vote twice in one term."""
    try:
        with path.open("rb") as file:
            term = Plain(file).load().get("currentTerm", 0)
    except FileNotFoundError:
        return 0
    except Exception as fault:  # whatever bytes may raise there
        raise CommandRejected(f"{path}: of no use: {type(fault).__name__}: {fault}") from None
    if type(term) is not int or not 0 <= term < TERM_MOST:
        raise CommandRejected(f"{path}: currentTerm: no term: {term!r}")
    return term


def _snapshot(path: Path) -> None:
    try:
        with gzip.open(path) as file:
            if not file.read(READ_BYTES):
                raise EOFError("there is nothing in it")
            while file.read(READ_BYTES):
                pass
    except (OSError, EOFError, zlib.error) as fault:
        raise CommandRejected(f"{path}: not whole: {fault}") from None
