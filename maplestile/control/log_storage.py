"""Checks a voter's files on disk before the voter takes part in Raft.

pysyncobj reads a journal without checking it. A truncated journal ended the control plane without a message.
One with damaged bytes made its voter win every election with a wrong term, which left all voters with an
empty state. A folder is therefore accepted only if all of its files are intact, and otherwise the error names
the file and, in a journal, the offset of the damage.

    journal         a header of 40 bytes, then records: size, index, term, command, size again
    journal.meta    the voter's term and its vote in that term
    snapshot        the replicated state, see `control/snapshot.py`
    voter           the name of the voter that owns the folder, written by this module
"""

import os
import pickle
import struct
from pathlib import Path
from typing import NamedTuple, NoReturn

from maplestile.common import durable_file as durable
from maplestile.common.errors import CommandRejected
from maplestile.control import snapshot
from maplestile.control.snapshot import EarlierReleaseSnapshot

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
NO_INDEX = 0  # an index that no entry has
FIRST_INDEX = 1  # of the entry that the library writes into a new log
NO_TERM = 0
EARLIER_SNAPSHOT_FILE = "snapshot.earlier-release"


class JournalEntries(NamedTuple):
    """The entries of a journal: their first and last index, and the term of the last."""

    first: int
    last: int
    last_term: int


NO_ENTRIES = JournalEntries(NO_INDEX, NO_INDEX, NO_TERM)


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
    if owner is None and (folder / OWNER_FILE).exists():
        raise CommandRejected(f"{folder / OWNER_FILE}: damaged: whose folder it is cannot be read")
    if owner is not None and owner != voter:
        raise CommandRejected(f"{folder / OWNER_FILE}: the folder is of voter '{owner}'")
    journal = folder / "journal"
    meta = folder / "journal.meta"
    snapshot_file = folder / "snapshot"
    entries = NO_ENTRIES
    if journal.exists():
        entries = _check_terms(journal, meta)
    elif meta.exists() or snapshot_file.exists():
        raise CommandRejected(f"{journal}: is missing beside what belongs to it")
    if snapshot_file.exists():
        _check_snapshot(snapshot_file, journal, entries)
    elif entries.first > FIRST_INDEX:
        raise CommandRejected(f"{snapshot_file}: is missing, and the journal begins at entry {entries.first}")
    if owner is None:
        durable.write(folder / OWNER_FILE, OWNER_VERSION, voter)


def _check_terms(journal: Path, meta: Path) -> JournalEntries:
    """Check a journal beside the voter's term, and return what entries it has."""
    entries = _check_journal(journal)
    term = _voter_term(meta)
    if entries.last_term > term:
        reason = f"{meta}: its term is {term}, and the journal has one of {entries.last_term}: it is stale"
        raise CommandRejected(reason)
    return entries


def _check_journal(path: Path) -> JournalEntries:
    """Check a journal, and return what entries it has."""
    data = path.read_bytes()
    end = _end_of_records(path, data)
    offset = HEADER_BYTES
    first_index = NO_INDEX
    index = NO_INDEX
    term = NO_TERM
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
        first_index = first_index or index
        offset += SIZE.size + size + SIZE.size
    return JournalEntries(int(first_index), int(index), int(term))


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


def _check_snapshot(path: Path, journal: Path, entries: JournalEntries) -> None:
    """Check a snapshot beside a journal.

    One of an earlier release lacks the state. It is set aside if the journal has every entry: the state then
    comes from them. Otherwise the state is lost here, and the folder is refused.
    """
    try:
        _, last_index, _ = snapshot.read(path).last_entry
    except EarlierReleaseSnapshot as error:
        if entries.first != FIRST_INDEX:
            raise CommandRejected(
                f"{error}; the entries before {entries.first} are gone, so this voter takes no part. Note "
                "what `rollout status` and `policy status` say where a voter still runs. To accept the loss, "
                f"move {path.parent} away at every voter with such a folder, and propose the policy again"
            ) from None
        path.replace(path.with_name(EARLIER_SNAPSHOT_FILE))
        return
    except OSError as error:
        raise CommandRejected(f"{path}: cannot be read: {error}") from None
    if entries.first > last_index:
        raise CommandRejected(
            f"{journal}: begins at entry {entries.first}, and the snapshot ends at {last_index}"
        )
    if entries.first < last_index - 1 < entries.last:
        _remove_entries_before(journal, last_index - 1)


def _remove_entries_before(path: Path, index: int) -> None:
    """Remove the entries that the snapshot contains, as the voter does once it has written one.

    If the voter was killed between the two, pysyncobj would remove the later entries as well.
    """
    data = path.read_bytes()
    end = _end_of_records(path, data)
    offset = HEADER_BYTES
    while INDEX_AND_TERM.unpack_from(data, offset + SIZE.size)[0] < index:
        offset += SIZE.size + _record_size(path, data, offset, end) + SIZE.size
    records = data[offset:end]
    content = data[:RECORDS_END_OFFSET] + SIZE.pack(HEADER_BYTES + len(records)) + records
    temporary = path.with_name(f"{path.name}.new")
    with temporary.open("wb") as file:
        file.write(content.ljust(len(data), b"\0"))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
