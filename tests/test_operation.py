"""What is behind the operators' front, without processes: routes, metrics, cordons, locks, budgets."""

import asyncio
import tempfile
import unittest
from collections import Counter
from dataclasses import replace
from pathlib import Path

from maplestile.dispatch import api
from maplestile.membership.messages import Status
from maplestile.membership.view import HealthChecksView, MembershipView, MemberView
from maplestile.net.http import HttpFront
from maplestile.operation import metrics as exposition
from maplestile.operation.api import OperatorApi
from maplestile.operation.cordons import Cordons
from maplestile.operation.handover import Handover, HandoverStage
from maplestile.operation.policy import PolicyOperations
from maplestile.operation.runner_view import RunnerView
from maplestile.operation.state_folder import FileCordonStore, ProcessLocks
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire.http import HttpRequest, Response
from maplestile.wire.limits import ANSWER_BYTES, Limits, OperatorLimits
from maplestile.wire.messages import Verdict
from tests.helpers import Driver, arrival, ended, entry, fleet, sends, settings
from tests.standins import target

MEMBERSHIP = MembershipView(
    own_name="a",
    incarnation=2,
    isolated=False,
    local_health=1,
    agreed=("a", "b"),
    members=(
        MemberView("a", ("127.0.0.1", 7946), Status.ALIVE, 2),
        MemberView("b", ("127.0.0.1", 7947), Status.SUSPECT, 0),
    ),
    health_checks=HealthChecksView(("s-0",), ("s-1",), 3, 4, 5, 6),
)
MEMBERSHIP_JSON = (
    '{"member": "a", "incarnation": 2, "isolated": false, "health": 1, "agreed": ["a", "b"], "members": ['
    '{"name": "a", "address": "127.0.0.1:7946", "status": "alive", "incarnation": 2}, '
    '{"name": "b", "address": "127.0.0.1:7947", "status": "suspect", "incarnation": 0}], "watch": '
    '{"mine": ["s-0"], "silent": ["s-1"], "taken_over": 3, "given_up": 4, "overlap": 5, "left": 6}}'
)
REPORT = exposition.MetricsReport(
    ("review", 'a"b'),
    {("review", Verdict.SERVED): 3, ("review", Verdict.EXPIRED): 2, ("review", Verdict.FAILED): 1},
    7,
    2,
    5,
    1,
)


class Router:
    """Knows one runner, `s 1`."""

    def __init__(self) -> None:
        self.lacking = ""
        self.calls: list[str] = []
        self.policy: PolicyOperations | None = None
        self.membership: MembershipView | None = None

    def ready(self) -> str:
        return self.lacking

    def metrics(self) -> exposition.MetricsReport:
        return REPORT

    def members(self) -> MembershipView | None:
        return self.membership

    def runners(self) -> list[RunnerView]:
        return [RunnerView(id="s-0", suspended=False, avoided=False, inflight=2)]

    def suspend(self, runner: str) -> bool:
        self.calls.append(f"out {runner}")
        return runner == "s 1"

    def resume(self, runner: str) -> bool:
        self.calls.append(f"back {runner}")
        return runner == "s 1"


class RoutesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = Router()
        self.api = OperatorApi(self.router, Limits())

    def ask(self, method: str, path: str) -> Response:
        answers = list[Response]()
        self.api.handle(HttpRequest(method, path), answers.append)
        (answer,) = answers
        return answer

    def test_ready_says_what_is_lacking(self) -> None:
        self.assertEqual(self.ask("GET", "/v1/readyz").status, 200)
        self.router.lacking = "no runner is listed"
        answer = self.ask("GET", "/v1/readyz")
        self.assertEqual((answer.status, b"no runner is listed" in answer.body), (503, True))

    def test_runners_are_shown_as_json_in_a_fixed_order(self) -> None:
        answer = self.ask("GET", "/v1/runners")
        shown = b'{"runners": [{"id": "s-0", "suspended": false, "avoided": false, "inflight": 2}]}'
        self.assertEqual((answer.status, answer.body), (200, shown))

    def test_membership_is_shown_as_json_in_a_fixed_order(self) -> None:
        self.assertEqual(self.ask("GET", "/v1/members").status, 404)
        self.router.membership = MEMBERSHIP
        answer = self.ask("GET", "/v1/members")
        self.assertEqual((answer.status, answer.body.decode()), (200, MEMBERSHIP_JSON))

    def test_membership_without_shared_health_checks_shows_null(self) -> None:
        self.router.membership = replace(MEMBERSHIP, health_checks=None)
        answer = self.ask("GET", "/v1/members")
        self.assertTrue(answer.body.endswith(b', "watch": null}'), answer.body)

    def test_runners_are_named_percent_decoded_and_unknown_ones_are_rejected(self) -> None:
        statuses = [
            self.ask("PUT", f"/v1/runners/{name}/{do}").status
            for name, do in (
                ("s%201", "suspend"),
                ("s%201", "resume"),
                ("s-2", "suspend"),
                ("s-2", "resume"),
                ("%ff", "suspend"),
            )
        ]
        self.assertEqual(statuses, [204, 204, 404, 404, 400])
        self.assertEqual(self.router.calls, ["out s 1", "back s 1", "out s-2", "back s-2"])

    def test_wrong_methods_and_paths(self) -> None:
        for method, path, allowed in (
            ("POST", "/v1/readyz", "GET"),
            ("PUT", "/v1/metrics", "GET"),
            ("GET", "/v1/runners/s/suspend", "PUT"),
            ("DELETE", "/v1/runners/s/resume", "PUT"),
        ):
            answer = self.ask(method, path)
            self.assertEqual((answer.status, dict(answer.headers)["Allow"]), (405, allowed))
        for path in ("/", "/v1/ready", "/v1/runners//suspend", "/v1/runners/a/b/suspend", "/v1/runners/s"):
            self.assertEqual(self.ask("GET", path).status, 404)

    def test_metrics_have_every_class_from_the_start_and_quoted_labels(self) -> None:
        answer = self.ask("GET", "/v1/metrics")
        self.assertEqual(dict(answer.headers)["Content-Type"].split(";")[0], "text/plain")
        lines = [line for line in answer.body.decode().splitlines() if not line.startswith("#")]
        self.assertEqual(
            lines,
            [
                'svc_success_total{tier="review"} 3',
                r'svc_success_total{tier="a\"b"} 0',
                'svc_busy_total{tier="review"} 0',
                r'svc_busy_total{tier="a\"b"} 0',
                'svc_failure_total{tier="review"} 3',
                r'svc_failure_total{tier="a\"b"} 0',
                "svc_backend_calls_total 7",
                "svc_inflight 2",
                "svc_hosts_listed 5",
                "svc_hosts_down 1",
            ],
        )


class DriverTest(unittest.IsolatedAsyncioTestCase):
    """The operators' bounds on the HTTP driver."""

    async def asyncSetUp(self) -> None:
        self.counters = Counter[str]()
        limits = Limits(operators=OperatorLimits(connections=2, request_us=60_000_000))
        http = HttpFront("operator", OperatorApi(Router(), limits), self.counters, lambda: 0)
        self.listener = await http.start("127.0.0.1", 0)
        self.addCleanup(self.listener.close)

    async def ask(self, text: bytes) -> bytes:
        async with asyncio.timeout(20):
            reader, writer = await asyncio.open_connection(*self.listener.address)
            writer.write(text)
            answer = await reader.read()  # to the end: one call a connection
            writer.close()
            return answer.split(b"\r\n")[0]

    async def test_one_call_a_connection_and_its_faults(self) -> None:
        for text, status in (
            (b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", b"200"),
            (b"hello\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + 20_000 * b"a", b"431"),
            (b"PUT /v1/runners/s/resume HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n", b"413"),
        ):
            self.assertEqual((await self.ask(text)).split()[1], status)

    async def test_callers_that_finish_no_call_lock_out_nobody(self) -> None:
        some = [await asyncio.open_connection(*self.listener.address) for _ in range(6)]
        for _, writer in some[::2]:
            writer.write(b"GET /v1")
        async with asyncio.timeout(20):
            while self.counters["operator.idle_evicted"] < 4:  # the cap is two
                await asyncio.sleep(0.005)
        answer = await self.ask(b"GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(answer.split()[1], b"200")
        self.assertEqual(self.counters["operator.rejected"], 0)
        for _, writer in some:
            writer.close()


class CordonsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp()) / "deep" / "suspended"
        self.one = self.cordons()
        self.other = self.cordons()

    def cordons(self) -> Cordons:
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


class ListTest(unittest.TestCase):
    def test_a_suspended_runner_is_shown_as_draining_whatever_the_list_says(self) -> None:
        endpoints = EndpointList()
        target_of = [target("a", 1), target("b", 2)]
        endpoints.apply_known({"updates": [{"index": 1, "endpoints": {"all": True, "targets": target_of}}]})
        endpoints.suspended = frozenset({"a", "not-listed"})
        states = {e.worker: e.state for e in endpoints.event().entries}
        self.assertEqual(states, {"a": api.WorkerState.DRAINING, "b": api.WorkerState.RUNNING})
        self.assertEqual(endpoints.entries["a"].state, api.WorkerState.RUNNING)

    def test_with_every_runner_out_calls_are_refused_at_once(self) -> None:
        driver = Driver(settings(), [entry("a", api.WorkerState.DRAINING)])
        actions = driver.give(arrival(1))
        self.assertIn(api.RejectCall, [type(a) for a in actions])

    def test_a_runner_put_back_is_used_again(self) -> None:
        driver = Driver(settings(), [entry("a")])
        driver.give(fleet(entry("a", api.WorkerState.DRAINING), kind=api.ListKind.FULL))
        self.assertEqual(sends(driver.give(arrival(1))), [])
        driver.give(fleet(entry("a"), kind=api.ListKind.FULL))
        self.assertEqual(sends(driver.give(arrival(2)))[0].worker, "a")

    def test_a_worker_that_the_decisions_leave_out_is_shown_as_avoided(self) -> None:
        driver = Driver(settings(), [entry("a"), entry("b")])
        dispatcher = driver.dispatcher
        (send,) = sends(driver.give(arrival(1)))
        driver.give(ended(1, 0, send.worker, api.Result.CONNECT_FAILED))
        avoided = [name for name, worker in dispatcher.workers.items() if dispatcher.avoids(worker)]
        self.assertEqual(avoided, [send.worker])


class HandoverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())

    def process(self) -> tuple[Handover, ProcessLocks]:
        locks = ProcessLocks(self.folder)
        return Handover(locks), locks

    @staticmethod
    def die(locks: ProcessLocks) -> None:
        """Do what the kernel does at the end of a process."""
        for name in list(locks.descriptors):
            locks.release(name)

    def test_two_upgrades_in_a_row(self) -> None:
        first, first_locks = self.process()
        self.assertEqual((first.stage, first.process_count), (HandoverStage.ALONE, 1))
        for _ in range(2):
            second, second_locks = self.process()
            third, third_locks = self.process()
            first.poll()
            self.assertEqual((second.stage, third.stage), (HandoverStage.TAKING, HandoverStage.WAITING))
            self.assertEqual(
                (first.process_count, second.process_count, first.successor_ready), (2, 2, False)
            )
            self.die(third_locks)
            second.announce_ready()
            first.poll()
            self.assertTrue(first.successor_ready)
            self.die(first_locks)
            second.poll()
            self.assertEqual((second.stage, second.process_count), (HandoverStage.ALONE, 1))
            first, first_locks = second, second_locks

    def test_a_successor_that_dies_leaves_nothing_behind(self) -> None:
        first, _ = self.process()
        second, locks = self.process()
        second.announce_ready()
        self.die(locks)
        first.poll()
        self.assertEqual((first.process_count, first.successor_ready), (1, False))
        second, _ = self.process()
        first.poll()
        self.assertEqual((second.stage, first.successor_ready), (HandoverStage.TAKING, False))

    def test_no_process_yields_to_a_successor_that_was_asked_to_stop_itself(self) -> None:
        first, _ = self.process()
        second, _ = self.process()
        second.announce_ready()
        first.poll()
        self.assertTrue(first.successor_ready)
        second.announce_stopping()
        first.poll()
        self.assertEqual((first.successor, first.successor_ready), (True, False))

    def test_budgets_are_divided_while_two_live(self) -> None:
        chosen = settings()
        for descriptors in (256, 384, 1024):
            alone = Limits.from_settings(chosen, descriptors, 80)
            both = alone.shared(2)
            held = 2 * (both.clients.connections + both.runners.connections + both.operators.connections)
            self.assertLess(held, descriptors - 40)
            self.assertGreaterEqual(2 * both.clients.connections, descriptors // 3)
            self.assertLess(both.requests.open_bytes, alone.requests.open_bytes)
            self.assertEqual(both.shared(1), alone)


class LongAnswerTest(unittest.TestCase):
    def test_the_longest_answer_passes_the_bounds(self) -> None:
        limits = Limits.from_settings(settings(), 256, 80)
        self.assertGreater(limits.runners.line_bytes, 4 * ANSWER_BYTES / 3 + 1000)
        self.assertGreater(limits.clients.unread_bytes, 2 * 4 * ANSWER_BYTES / 3)
