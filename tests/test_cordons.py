"""Tests of cordons: their storage, and their effect on the endpoint list and the dispatcher."""

import tempfile
import unittest
from collections import Counter
from pathlib import Path

from maplestile.dispatch import api
from maplestile.operation.cordons import Cordons
from maplestile.operation.state_folder import FileCordonStore
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire.limits import OperatorLimits
from tests.helpers import Driver, arrival, ended, entry, sends, settings, worker_list
from tests.standins import target


class CordonsTest(unittest.TestCase):
    """Cordons of two processes that share a folder, and of one that starts later."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp()) / "deep" / "suspended"
        self.first = self.create_cordons()
        self.second = self.create_cordons()

    def create_cordons(self) -> Cordons:
        """Return the cordons of one more process, to which `a` and `../b` are listed."""
        cordons = Cordons(
            FileCordonStore(self.folder), OperatorLimits(known_runners=3), Counter(), lambda: None
        )
        cordons.remember_listed(["a", "../b"])
        return cordons

    def test_cordon_applies_to_running_and_later_processes(self) -> None:
        for _ in range(2):  # a repeated request is allowed
            self.assertTrue(self.first.suspend("../b"))
        self.second.refresh()
        later = self.create_cordons()
        later.refresh()
        self.assertEqual([cordons.cordoned for cordons in (self.first, self.second, later)], 3 * [{"../b"}])
        self.assertTrue(self.second.resume("../b"))
        self.first.refresh()
        self.assertEqual((self.first.cordoned, self.second.cordoned), (frozenset(), frozenset()))

    def test_rejects_runner_never_listed_but_accepts_one_no_longer_listed(self) -> None:
        self.assertFalse(self.first.suspend("c"))
        self.assertFalse(self.first.resume("c"))
        self.first.remember_listed(["c"])
        self.assertTrue(self.first.suspend("a"))
        self.first.remember_listed(["d", "e", "f", "g"])  # remembered ids are limited to 3, cordons are not
        self.assertFalse(self.first.suspend("c"))
        self.assertTrue(self.first.resume("a"))

    def test_unusable_or_lost_folder_keeps_cordons_and_allows_start(self) -> None:
        self.first.suspend("a")
        (self.folder / "r-a").unlink()
        self.folder.rmdir()
        self.folder.write_bytes(b"\0 damaged")
        self.first.refresh()
        self.create_cordons().refresh()
        self.assertEqual(self.first.cordoned, {"a"})
        self.folder.unlink()
        self.first.refresh()
        later = self.create_cordons()
        later.refresh()
        self.assertEqual(later.cordoned, {"a"})

    def test_cordon_that_cannot_be_stored_applies_here_and_is_stored_later(self) -> None:
        self.folder.rmdir()
        self.folder.write_bytes(b"")
        self.assertTrue(self.first.suspend("a"))
        self.first.refresh()
        self.assertEqual(self.first.cordoned, {"a"})
        self.folder.unlink()
        self.first.refresh()
        self.second.refresh()
        self.assertEqual(self.second.cordoned, {"a"})


class SuspendedRunnerTest(unittest.TestCase):
    """The effect of a cordoned runner on the endpoint list and the dispatcher."""

    def test_suspended_runner_appears_as_draining(self) -> None:
        endpoints = EndpointList()
        targets = [target("a", 1), target("b", 2)]
        endpoints.apply_updates({"updates": [{"index": 1, "endpoints": {"all": True, "targets": targets}}]})
        endpoints.suspended = frozenset({"a", "not-listed"})
        states = {listed.worker: listed.state for listed in endpoints.event().entries}
        self.assertEqual(states, {"a": api.WorkerState.DRAINING, "b": api.WorkerState.RUNNING})
        self.assertEqual(endpoints.entries["a"].state, api.WorkerState.RUNNING)

    def test_rejects_call_at_once_if_every_runner_drains(self) -> None:
        driver = Driver(settings(), [entry("a", api.WorkerState.DRAINING)])
        actions = driver.give(arrival(1))
        self.assertIn(api.RejectCall, [type(action) for action in actions])

    def test_resumed_runner_gets_calls_again(self) -> None:
        driver = Driver(settings(), [entry("a")])
        driver.give(worker_list(entry("a", api.WorkerState.DRAINING), kind=api.ListKind.FULL))
        self.assertEqual(sends(driver.give(arrival(1))), [])
        driver.give(worker_list(entry("a"), kind=api.ListKind.FULL))
        self.assertEqual(sends(driver.give(arrival(2)))[0].worker, "a")

    def test_worker_with_failed_connection_is_avoided(self) -> None:
        driver = Driver(settings(), [entry("a"), entry("b")])
        dispatcher = driver.dispatcher
        (send,) = sends(driver.give(arrival(1)))
        driver.give(ended(1, 0, send.worker, api.Result.CONNECT_FAILED))
        avoided = [name for name, worker in dispatcher.workers.items() if dispatcher.is_avoided(worker)]
        self.assertEqual(avoided, [send.worker])
