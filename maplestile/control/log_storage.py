"""What a voter has on disk, checked before it takes part in the consensus.

The library reads a journal unchecked: a truncated one ended the control plane without a message, and one
with damaged bytes made its voter win each election with a wrong term, and left all with an empty state. So a
folder is accepted as a whole or not at all, and the error names the place that is wrong.

    journal         a head of 40 bytes, then records: size, index, term, command, size again
    journal.meta    the term of the voter, and whom it voted for in it
    snapshot        gzip, with a checksum of its content
    voter           whose folder it is, by this program
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
JOURNAL_FORMAT = 1
HEAD_BYTES = 40
FORMAT_OFFSET = 32  # in the head
END_OFFSET = 36  # in the head: where the records end
SIZE = struct.Struct("<I")
INDEX_AND_TERM = struct.Struct("<QQ")
# Above any term that elections can reach: one each millisecond makes this many in 30 years.
TERM_LIMIT = 1 << 40
OWNER_FILE = "voter"
OWNER_VERSION = 1
READ_BYTES = 1 << 16


class PlainUnpickler(pickle.Unpickler):
    """Reads numbers and texts in a table, and nothing that could run."""

    def find_class(self, module: str, name: str) -> NoReturn:
        """Refuse every class and function."""
        raise pickle.UnpicklingError(f"{module}.{name}")


def check_folder(folder: Path, voter: str) -> None:
    """Check that the folder is this voter's, complete and undamaged.

    Raises CommandRejected, which names the place, or OSError.
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
    last_term = _last_term(journal)
    term = _voter_term(meta)
    if last_term > term:
        reason = f"{meta}: its term is {term}, and the journal has one of {last_term}: it is stale"
        raise CommandRejected(reason)


def _last_term(path: Path) -> int:
    """Check a journal; the term of its last record, 0 if it has none."""
    data = path.read_bytes()
    end = _end_of_records(path, data)
    offset = HEAD_BYTES
    index = 0
    term = 0
    while offset < end:
        size = _record_size(path, data, offset, end)
        last_index = index
        last_term = term
        index, term = INDEX_AND_TERM.unpack_from(data, offset + SIZE.size)
        is_next = not last_index or index == last_index + 1
        if not is_next or not last_term <= term < TERM_LIMIT:
            place = f"{path}: byte {offset}"
            raise CommandRejected(f"{place}: entry {index} of term {term} after {last_index} of {last_term}")
        offset += SIZE.size + size + SIZE.size
    return int(term)


def _end_of_records(path: Path, data: bytes) -> int:
    is_journal = len(data) >= HEAD_BYTES and data.startswith(JOURNAL_MAGIC)
    if not is_journal or SIZE.unpack_from(data, FORMAT_OFFSET)[0] != JOURNAL_FORMAT:
        raise CommandRejected(f"{path}: no journal of this form")
    end: int = SIZE.unpack_from(data, END_OFFSET)[0]
    if not HEAD_BYTES <= end <= len(data):
        raise CommandRejected(f"{path}: {len(data)} bytes, and its records end at {end}: it was cut")
    return end


def _record_size(path: Path, data: bytes, offset: int, end: int) -> int:
    """The size of the record's content, which is written before and after it."""
    size: int = SIZE.unpack_from(data, offset)[0] if offset + SIZE.size <= end else 0
    size_again_offset = offset + SIZE.size + size
    is_complete = size >= INDEX_AND_TERM.size and size_again_offset + SIZE.size <= end
    if not is_complete or SIZE.unpack_from(data, size_again_offset)[0] != size:
        raise CommandRejected(f"{path}: byte {offset}: a record that is not whole")
    return size


def _voter_term(path: Path) -> int:
    """The term that the voter was in; 0 if it has been in none.

    The library takes a damaged file for one that is not there, and might vote twice in one term.
    """
    try:
        with path.open("rb") as file:
            term = PlainUnpickler(file).load().get("currentTerm", 0)
    except FileNotFoundError:
        return 0
    except Exception as fault:  # whatever damaged bytes may raise there
        raise CommandRejected(f"{path}: of no use: {type(fault).__name__}: {fault}") from None
    if type(term) is not int or not 0 <= term < TERM_LIMIT:
        raise CommandRejected(f"{path}: currentTerm: no term: {term!r}")
    return term


def _check_snapshot(path: Path) -> None:
    try:
        content_bytes = _bytes_of_gzip(path)
    except (OSError, EOFError, zlib.error) as fault:
        raise CommandRejected(f"{path}: not whole: {fault}") from None
    if not content_bytes:
        raise CommandRejected(f"{path}: not whole: there is nothing in it")


def _bytes_of_gzip(path: Path) -> int:
    """How many bytes of content are in the file. Raises where its checksum is not that of its content."""
    content_bytes = 0
    with gzip.open(path) as file:
        while chunk := file.read(READ_BYTES):
            content_bytes += len(chunk)
    return content_bytes
