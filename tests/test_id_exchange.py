"""Tests of the ids that two processes share in files, also while the files cannot be used."""

import errno
import os
from collections import Counter
from pathlib import Path
from unittest import mock

import pytest

from maplestile.operation.id_exchange import NEXT_FILE, RECORD_BYTES, SERVING_FILE, IdExchange
from maplestile.requests.recent_ids import RecentIds


@pytest.fixture
def counters() -> Counter[str]:
    return Counter[str]()


@pytest.fixture
def serving(tmp_path: Path, counters: Counter[str]) -> IdExchange:
    """Return the exchange of a process that has had the ids 1 to 3, and has a successor."""
    exchange = IdExchange(RecentIds(64), tmp_path, counters)
    assert all(exchange.add(id_) for id_ in (1, 2, 3))
    exchange.share(is_successor=False)
    return exchange


@pytest.fixture
def successor(serving: IdExchange, tmp_path: Path, counters: Counter[str]) -> IdExchange:
    """Return the exchange of the successor."""
    exchange = IdExchange(RecentIds(64), tmp_path, counters)
    exchange.share(is_successor=True)
    assert exchange.has_predecessors_ids()
    return exchange


def test_id_is_new_at_one_process_only(serving: IdExchange, successor: IdExchange) -> None:
    assert not successor.add(2)
    assert successor.add(10) and not serving.add(10)
    assert serving.add(11) and not successor.add(11)


def test_id_that_comes_to_both_at_once_is_new_at_one_at_most(
    serving: IdExchange, successor: IdExchange
) -> None:
    real_write = os.write

    def write_after_the_other(descriptor: int, data: bytes) -> int:
        with mock.patch.object(os, "write", real_write):
            added.append(successor.add(5))
        return real_write(descriptor, data)

    added = list[bool]()
    with mock.patch.object(os, "write", write_after_the_other):
        added.append(serving.add(5))
    assert added.count(True) <= 1


def test_ids_that_could_not_be_written_follow_later(
    serving: IdExchange, successor: IdExchange, counters: Counter[str]
) -> None:
    with mock.patch.object(os, "write", side_effect=OSError(errno.ENOSPC, "no space")):
        assert serving.add(20)
    assert counters["operation.id_file_faults"] == 1
    assert serving.add(21)
    assert not successor.add(20) and not successor.add(21)


def test_half_written_id_is_completed_by_the_next_write(serving: IdExchange, successor: IdExchange) -> None:
    real_write, half = os.write, RECORD_BYTES // 2
    written = list[int]()

    def write_half_once(descriptor: int, data: bytes) -> int:
        if written:
            raise OSError(errno.EIO, "error")
        written.append(real_write(descriptor, bytes(data[:half])))
        return half

    with mock.patch.object(os, "write", write_half_once):
        assert serving.add(30)
    assert 30 not in successor.collect()
    assert serving.add(31)
    assert not successor.add(30) and not successor.add(31)


def test_read_that_fails_loses_no_id(
    serving: IdExchange, successor: IdExchange, counters: Counter[str]
) -> None:
    assert serving.add(40)
    with mock.patch.object(os, "open", side_effect=OSError(errno.EMFILE, "no descriptor")):
        assert successor.add(41)
    assert counters["operation.id_file_faults"] == 1
    assert not successor.add(40)


def test_file_of_a_new_successor_is_read_from_its_start(
    serving: IdExchange, successor: IdExchange, tmp_path: Path, counters: Counter[str]
) -> None:
    assert successor.add(50)
    assert 50 in serving.collect()
    another = IdExchange(RecentIds(64), tmp_path, counters)
    another.share(is_successor=True)
    assert another.add(51) and another.add(52)
    assert not serving.add(51) and not serving.add(52)


def test_process_that_is_alone_keeps_the_ids_and_removes_the_files(
    serving: IdExchange, successor: IdExchange, tmp_path: Path
) -> None:
    assert serving.add(60)
    successor.stop_sharing()  # the predecessor has ended
    assert not successor.add(60)
    assert not (tmp_path / SERVING_FILE).exists() and not (tmp_path / NEXT_FILE).exists()
    assert successor.add(61)


def test_half_written_id_of_a_killed_process_is_ignored(serving: IdExchange, tmp_path: Path) -> None:
    (tmp_path / NEXT_FILE).write_bytes(bytes([7]) + bytes(RECORD_BYTES - 1) + b"half")
    assert not serving.add(7)
    assert serving.add(8)


def test_folder_that_cannot_be_used_is_reported_and_tried_again(
    tmp_path: Path, counters: Counter[str]
) -> None:
    exchange = IdExchange(RecentIds(64), tmp_path / "missing", counters)
    exchange.share(is_successor=False)
    assert not exchange.is_sharing and counters["operation.id_file_faults"] == 1
    assert exchange.add(1) and not exchange.add(1)
    (tmp_path / "missing").mkdir()
    exchange.share(is_successor=False)
    assert exchange.is_sharing
