"""Tests of the endpoint list that a serving process leaves to its successor."""

from collections import Counter
from pathlib import Path

import pytest

from maplestile.dispatch import api
from maplestile.operation.shared_endpoints import FILE_NAME, SharedEndpoints
from maplestile.requests.endpoint_list import EndpointList

NAME_SERVER = ("127.0.0.1", 53)
RUNNING, DRAINING = api.WorkerState.RUNNING, api.WorkerState.DRAINING


def endpoints(version: int, started_us: int = 0, **states: api.WorkerState) -> EndpointList:
    """Return a list with these runners."""
    listed = [
        (api.WorkerEntry(uid, "east", "std", 2, state, 4.0, started_us), ("127.0.0.1", 9000))
        for uid, state in states.items()
    ]
    result = EndpointList()
    result.apply_list(version, listed)
    return result


def test_saved_list_is_read_once(tmp_path: Path) -> None:
    saved = endpoints(7, 5_000, a=RUNNING, b=DRAINING)
    SharedEndpoints(tmp_path, Counter()).save(saved, NAME_SERVER)
    successor = SharedEndpoints(tmp_path, Counter())
    assert successor.load_if_changed(NAME_SERVER) == saved
    assert successor.load_if_changed(NAME_SERVER) is None


def test_list_of_another_name_server_or_no_file_is_not_used(tmp_path: Path) -> None:
    counters = Counter[str]()
    assert SharedEndpoints(tmp_path, counters).load_if_changed(NAME_SERVER) is None
    SharedEndpoints(tmp_path, counters).save(endpoints(7, a=RUNNING), NAME_SERVER)
    assert SharedEndpoints(tmp_path, counters).load_if_changed(("127.0.0.1", 54)) is None
    assert not counters


@pytest.mark.parametrize(
    "content",
    [
        "",
        "{",
        "5",
        '{"name_server":"127.0.0.1:53"}',
        '{"name_server":"127.0.0.1:53","known":{"updates":[5]}}',
        "[" * 100_000,
    ],
)
def test_invalid_file_is_counted_once_and_not_used(tmp_path: Path, content: str) -> None:
    """Guards against a drain that ends on the error of a file, and a file that is reported at each look."""
    counters = Counter[str]()
    (tmp_path / FILE_NAME).write_text(content)
    store = SharedEndpoints(tmp_path, counters)
    for _ in range(2):
        assert store.load_if_changed(NAME_SERVER) is None
    assert counters["operation.endpoint_file_faults"] == 1


def test_folder_that_cannot_be_written_is_counted(tmp_path: Path) -> None:
    counters = Counter[str]()
    file = tmp_path / "file"
    file.touch()
    store = SharedEndpoints(file, counters)
    assert not store.save(endpoints(7, a=RUNNING), NAME_SERVER)
    assert counters["operation.endpoint_file_faults"] == 1
    file.unlink()
    file.mkdir()
    assert store.save(endpoints(7, a=RUNNING), NAME_SERVER)


def test_file_is_replaced_as_a_whole(tmp_path: Path) -> None:
    store = SharedEndpoints(tmp_path, Counter())
    for version in (7, 8):
        store.save(endpoints(version, a=RUNNING), NAME_SERVER)
    assert [file.name for file in tmp_path.iterdir()] == [FILE_NAME]


def test_successor_adopts_a_newer_list() -> None:
    own = endpoints(3, a=RUNNING, b=RUNNING)
    assert own.adopt(endpoints(4, a=DRAINING))
    assert own == endpoints(4, a=DRAINING)


def test_successor_adopts_a_list_whose_serial_has_wrapped() -> None:
    own = endpoints((1 << 32) - 1, a=RUNNING)
    assert own.adopt(endpoints(2, b=RUNNING))
    assert own == endpoints(2, b=RUNNING)
    assert not own.adopt(endpoints(2, b=RUNNING))


@pytest.mark.parametrize("version", [2, 3])
def test_of_a_list_that_is_not_newer_only_drains_of_the_same_process_apply(version: int) -> None:
    own = endpoints(3, a=RUNNING, b=RUNNING)
    assert own.adopt(endpoints(version, a=DRAINING, c=RUNNING))
    assert own == endpoints(3, a=DRAINING, b=RUNNING)
    assert not own.adopt(endpoints(version, a=DRAINING))
    assert not own.adopt(endpoints(version, 5_000, b=DRAINING))  # another process of that runner
