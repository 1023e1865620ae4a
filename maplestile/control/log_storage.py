"""Checks a voter's files on disk before the voter takes part in Raft.

pysyncobj reads a journal without checking it. A truncated journal ended the control plane without a message.
One with damaged bytes made its voter win every election with a wrong term, which left all voters with an
empty state. A folder is therefore accepted only if all of its files are intact, and otherwise the error names
the file and, in a journal, the offset of the damage.

    journal         a header of 40 bytes, then records: size, index, term, command, size again
    journal.meta    the voter's term and its vote in that term
    snapshot        gzip, with a checksum of its content
    voter           the name of the voter that owns the folder, written by this module
"""

import gzip
import pickle
import struct
import zlib
from pathlib import Path
from typing import NoReturn

from maplestile.common import durable_file as durable
from maplestile.common.errors import CommandRejected

JOURNAL_MAGIC = b"PYSYNCOBJ"
JOURNAL_FORMAT_VERSION = 1
HEADER_BYTES = 40
FORMAT_VERSION_OFFSET = 32  # of the format version in the header
RECORDS_END_OFFSET = 36  # of the field in the header that holds the end of the records
SIZE = struct.Struct("<I")
INDEX_AND_TERM = struct.Struct("<QQ")
# Above any term that elections can reach: one election per millisecond takes 30 years to get there.
TERM_LIMIT = 1 << 40
OWNER_FILE = "voter"
OWNER_VERSION = 1
READ_CHUNK_BYTES = 1 << 16


class RestrictedUnpickler(pickle.Unpickler):
    """An unpickler for built-in data types only, so that a file cannot make it run code."""

    def find_class(self, module: str, name: str) -> NoReturn:
        """Reject every class and function."""
        raise pickle.UnpicklingError(f"{module}.{name}")


def check_folder(folder: Path, voter: str) -> None:
    """Check that the folder belongs to this voter and that its files are complete and intact.

    A folder without an owner is recorded as this voter's. Raises CommandRejected, which names the file, or
    OSError.
    """
    owner = durable.read(folder / OWNER_FILE, OWNER_VERSION)
    if owner is not None and owner != voter:
        raise CommandRejected(f"{folder / OWNER_FILE}: the folder is of voter '{owner}'")
    journal = folder / "journal"
    meta = folder / "journal.meta"
    snapshot = folder / "snapshot"
    if journal.exists():
        _check_terms(journal, meta)
    elif meta.exists() or snapshot.exists():
        raise CommandRejected(f"{journal}: is missing beside what belongs to it")
    if snapshot.exists():
        _check_snapshot(snapshot)
    if owner is None:
        durable.write(folder / OWNER_FILE, OWNER_VERSION, voter)


def _check_terms(journal: Path, meta: Path) -> None:
    last_term = _check_journal(journal)
    term = _voter_term(meta)
    if last_term > term:
        reason = f"{meta}: its term is {term}, and the journal has one of {last_term}: it is stale"
        raise CommandRejected(reason)


def _check_journal(path: Path) -> int:
    """Check a journal and return the term of its last record; 0 if it has none."""
    data = path.read_bytes()
    end = _end_of_records(path, data)
    offset = HEADER_BYTES
    index = 0
    term = 0
    while offset < end:
        size = _record_size(path, data, offset, end)
        previous_index = index
        previous_term = term
        index, term = INDEX_AND_TERM.unpack_from(data, offset + SIZE.size)
        is_next = not previous_index or index == previous_index + 1
        if not is_next or not previous_term <= term < TERM_LIMIT:
            place = f"{path}: byte {offset}"
            raise CommandRejected(
                f"{place}: entry {index} of term {term} after {previous_index} of {previous_term}"
            )
        offset += SIZE.size + size + SIZE.size
    return int(term)


def _end_of_records(path: Path, data: bytes) -> int:
    is_journal = len(data) >= HEADER_BYTES and data.startswith(JOURNAL_MAGIC)
    if not is_journal or SIZE.unpack_from(data, FORMAT_VERSION_OFFSET)[0] != JOURNAL_FORMAT_VERSION:
        raise CommandRejected(f"{path}: no journal of this form")
    end: int = SIZE.unpack_from(data, RECORDS_END_OFFSET)[0]
    if not HEADER_BYTES <= end <= len(data):
        raise CommandRejected(f"{path}: {len(data)} bytes, and its records end at {end}: it was cut")
    return end


def _record_size(path: Path, data: bytes, offset: int, end: int) -> int:
    """Return the size of a record's content, which must be the same before and after the content."""
    size: int = SIZE.unpack_from(data, offset)[0] if offset + SIZE.size <= end else 0
    trailing_size_offset = offset + SIZE.size + size
    is_complete = size >= INDEX_AND_TERM.size and trailing_size_offset + SIZE.size <= end
    if not is_complete or SIZE.unpack_from(data, trailing_size_offset)[0] != size:
        raise CommandRejected(f"{path}: byte {offset}: a record that is not whole")
    return size


def _voter_term(path: Path) -> int:
    """Return the term that the voter was in; 0 if the file is missing.

    pysyncobj treats a damaged file as missing, and the voter might then vote twice in one term.
    """
    try:
        with path.open("rb") as file:
            term = RestrictedUnpickler(file).load().get("currentTerm", 0)
    except FileNotFoundError:
        return 0
    except Exception as error:  # unpickling damaged bytes can raise any exception
        raise CommandRejected(f"{path}: of no use: {type(error).__name__}: {error}") from None
    if type(term) is not int or not 0 <= term < TERM_LIMIT:
        raise CommandRejected(f"{path}: currentTerm: no term: {term!r}")
    return term


def _check_snapshot(path: Path) -> None:
    try:
        content_bytes = _decompressed_size(path)
    except (OSError, EOFError, zlib.error) as error:
        raise CommandRejected(f"{path}: not whole: {error}") from None
    if not content_bytes:
        raise CommandRejected(f"{path}: not whole: there is nothing in it")


def _decompressed_size(path: Path) -> int:
    """Return the size of the decompressed content. Raises OSError, EOFError or zlib.error on damage."""
    content_bytes = 0
    with gzip.open(path) as file:
        while chunk := file.read(READ_CHUNK_BYTES):
            content_bytes += len(chunk)
    return content_bytes
