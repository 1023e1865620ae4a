"""Cordons by their folder alone: where they are stored, and what they do to the endpoint list."""

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
    """Two processes with one folder; a third starts later."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp()) / "deep" / "suspended"
        self.one = self.cordons()
        self.other = self.cordons()

    def cordons(self) -> Cordons:
        """Return the cordons of one more process, to which `a` and `../b` were listed."""
        cordons = Cordons(
            FileCordonStore(self.folder), OperatorLimits(known_runners=3), Counter(), lambda: None
        )
        cordons.remember_listed(["a", "../b"])
        return cordons

    def test_a_cordon_set_at_one_process_holds_at_the_other_and_after_a_start(self) -> None:
        for _ in range(2):  # calls may repeat
            self.assertTrue(self.one.suspend("../b"))
        self.other.refresh()
        late = self.cordons()
        late.refresh()
        self.assertEqual([cordons.cordoned for cordons in (self.one, self.other, late)], 3 * [{"../b"}])
        self.assertTrue(self.other.resume("../b"))
        self.one.refresh()
        self.assertEqual((self.one.cordoned, self.other.cordoned), (frozenset(), frozenset()))

    def test_a_runner_never_listed_is_refused_and_one_that_is_no_longer_listed_is_not(self) -> None:
        self.assertFalse(self.one.suspend("c"))
        self.assertFalse(self.one.resume("c"))
        self.one.remember_listed(["c"])
        self.assertTrue(self.one.suspend("a"))
        self.one.remember_listed(["d", "e", "f", "g"])  # the memory of ids is bounded, that of cordons is not
        self.assertFalse(self.one.suspend("c"))
        self.assertTrue(self.one.resume("a"))

    def test_a_lost_or_foreign_folder_lifts_no_cordon_and_stops_no_start(self) -> None:
        self.one.suspend("a")
        (self.folder / "r-a").unlink()
        self.folder.rmdir()
        self.folder.write_bytes(b"\0 damaged")
        self.one.refresh()
        self.cordons().refresh()
        self.assertEqual(self.one.cordoned, {"a"})
        self.folder.unlink()
        self.one.refresh()
        late = self.cordons()
        late.refresh()
        self.assertEqual(late.cordoned, {"a"})

    def test_a_cordon_that_cannot_be_stored_holds_in_this_process_until_it_does(self) -> None:
        self.folder.rmdir()
        self.folder.write_bytes(b"")
        self.assertTrue(self.one.suspend("a"))
        self.one.refresh()
        self.assertEqual(self.one.cordoned, {"a"})
        self.folder.unlink()
        self.one.refresh()
        self.other.refresh()
        self.assertEqual(self.other.cordoned, {"a"})


class SuspendedRunnerTest(unittest.TestCase):
    """What the endpoint list and the decisions make of a suspended runner."""

    def test_a_suspended_runner_is_shown_as_draining_whatever_the_list_says(self) -> None:
        endpoints = EndpointList()
        targets = [target("a", 1), target("b", 2)]
        endpoints.apply_known({"updates": [{"index": 1, "endpoints": {"all": True, "targets": targets}}]})
        endpoints.suspended = frozenset({"a", "not-listed"})
        states = {listed.worker: listed.state for listed in endpoints.event().entries}
        self.assertEqual(states, {"a": api.WorkerState.DRAINING, "b": api.WorkerState.RUNNING})
        self.assertEqual(endpoints.entries["a"].state, api.WorkerState.RUNNING)

    def test_with_every_runner_out_calls_are_refused_at_once(self) -> None:
        driver = Driver(settings(), [entry("a", api.WorkerState.DRAINING)])
        actions = driver.give(arrival(1))
        self.assertIn(api.RejectCall, [type(action) for action in actions])

    def test_a_runner_put_back_is_used_again(self) -> None:
        driver = Driver(settings(), [entry("a")])
        driver.give(worker_list(entry("a", api.WorkerState.DRAINING), kind=api.ListKind.FULL))
        self.assertEqual(sends(driver.give(arrival(1))), [])
        driver.give(worker_list(entry("a"), kind=api.ListKind.FULL))
        self.assertEqual(sends(driver.give(arrival(2)))[0].worker, "a")

    def test_a_worker_that_the_decisions_leave_out_is_shown_as_avoided(self) -> None:
        driver = Driver(settings(), [entry("a"), entry("b")])
        dispatcher = driver.dispatcher
        (send,) = sends(driver.give(arrival(1)))
        driver.give(ended(1, 0, send.worker, api.Result.CONNECT_FAILED))
        avoided = [name for name, worker in dispatcher.workers.items() if dispatcher.avoids(worker)]
        self.assertEqual(avoided, [send.worker])
