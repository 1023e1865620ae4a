"""Tests of the handover's stages, and of the budgets of two processes, without starting processes."""

import tempfile
import unittest
from pathlib import Path

from maplestile.operation.handover import Handover, HandoverStage
from maplestile.operation.state_folder import ProcessLocks
from maplestile.wire.limits import Limits
from tests.helpers import settings


def release_all(locks: ProcessLocks) -> None:
    """Release all locks, as the kernel does when a process ends."""
    for name in list(locks.descriptors):
        locks.release(name)


class HandoverTest(unittest.TestCase):
    """Processes with one folder, each of which takes over from the one before."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())

    def start_process(self) -> tuple[Handover, ProcessLocks]:
        """Return the handover of one more process, and its locks."""
        locks = ProcessLocks(self.folder)
        return Handover(locks), locks

    def test_two_handovers_in_a_row(self) -> None:
        first, first_locks = self.start_process()
        self.assertEqual((first.stage, first.process_count), (HandoverStage.ALONE, 1))
        for _ in range(2):
            second, second_locks = self.start_process()
            third, third_locks = self.start_process()
            first.poll()
            self.assertEqual((second.stage, third.stage), (HandoverStage.TAKING_OVER, HandoverStage.WAITING))
            self.assertEqual(
                (first.process_count, second.process_count, first.successor_ready), (2, 2, False)
            )
            release_all(third_locks)
            second.announce_ready()
            first.poll()
            self.assertTrue(first.successor_ready)
            release_all(first_locks)
            second.poll()
            self.assertEqual((second.stage, second.process_count), (HandoverStage.ALONE, 1))
            first, first_locks = second, second_locks

    def test_successor_that_dies_leaves_no_ready_marker(self) -> None:
        first, _ = self.start_process()
        second, locks = self.start_process()
        second.announce_ready()
        release_all(locks)
        first.poll()
        self.assertEqual((first.process_count, first.successor_ready), (1, False))
        second, _ = self.start_process()
        first.poll()
        self.assertEqual((second.stage, first.successor_ready), (HandoverStage.TAKING_OVER, False))

    def test_successor_that_is_stopping_is_not_ready(self) -> None:
        first, _ = self.start_process()
        second, _ = self.start_process()
        second.announce_ready()
        first.poll()
        self.assertTrue(first.successor_ready)
        second.announce_stopping()
        first.poll()
        self.assertEqual((first.has_successor, first.successor_ready), (True, False))

    def test_budgets_are_divided_between_two_processes(self) -> None:
        router_settings = settings()
        for descriptors in (256, 384, 1024):
            alone = Limits.from_settings(router_settings, descriptors, 80)
            both = alone.divided_among(2)
            held = 2 * (both.clients.connections + both.runners.connections + both.operators.connections)
            self.assertLess(held, descriptors - 40)
            self.assertGreaterEqual(2 * both.clients.connections, descriptors // 3)
            self.assertLess(both.requests.open_bytes, alone.requests.open_bytes)
            self.assertEqual(both.divided_among(1), alone)
