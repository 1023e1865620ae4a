"""The operators' front without processes: routes, metrics, and the bounds on its connections."""

import asyncio
import unittest
from collections import Counter
from dataclasses import replace

from maplestile.membership.messages import Status
from maplestile.membership.view import HealthChecksView, MembershipView, MemberView
from maplestile.net.http import HttpFront
from maplestile.operation import metrics as exposition
from maplestile.operation.api import OperatorApi
from maplestile.operation.policy import PolicyOperations
from maplestile.operation.runner_view import RunnerView
from maplestile.wire.http import HttpRequest, Response
from maplestile.wire.limits import ANSWER_BYTES, Limits, OperatorLimits
from maplestile.wire.messages import Verdict
from tests.helpers import settings
from tests.standins import PATIENCE_S, wait_until

CONNECTIONS = 2  # the cap of the operators' front
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


class FakeRouter:
    """The router behind the operators' front: it knows one runner, `s 1`, and records its commands."""

    def __init__(self) -> None:
        self.not_ready_reason = ""
        self.calls: list[str] = []
        self.policy: PolicyOperations | None = None
        self.membership: MembershipView | None = None

    def ready(self) -> str:
        return self.not_ready_reason

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
    """Requests to the operators' front, and its answers."""

    def setUp(self) -> None:
        self.router = FakeRouter()
        self.api = OperatorApi(self.router, Limits())

    def request(self, method: str, path: str) -> Response:
        """Handle one request, and return its one answer."""
        answers = list[Response]()
        self.api.handle(HttpRequest(method, path), answers.append)
        (answer,) = answers
        return answer

    def test_readiness_says_what_is_missing(self) -> None:
        self.assertEqual(self.request("GET", "/v1/readyz").status, 200)
        self.router.not_ready_reason = "no runner is listed"
        answer = self.request("GET", "/v1/readyz")
        self.assertEqual((answer.status, b"no runner is listed" in answer.body), (503, True))

    def test_runners_are_shown_as_json_in_a_fixed_order(self) -> None:
        answer = self.request("GET", "/v1/runners")
        shown = b'{"runners": [{"id": "s-0", "suspended": false, "avoided": false, "inflight": 2}]}'
        self.assertEqual((answer.status, answer.body), (200, shown))

    def test_membership_is_shown_as_json_in_a_fixed_order(self) -> None:
        self.assertEqual(self.request("GET", "/v1/members").status, 404)
        self.router.membership = MEMBERSHIP
        answer = self.request("GET", "/v1/members")
        self.assertEqual((answer.status, answer.body.decode()), (200, MEMBERSHIP_JSON))

    def test_membership_without_shared_health_checks_shows_null(self) -> None:
        self.router.membership = replace(MEMBERSHIP, health_checks=None)
        answer = self.request("GET", "/v1/members")
        self.assertTrue(answer.body.endswith(b', "watch": null}'), answer.body)

    def test_runners_are_named_percent_decoded_and_unknown_ones_are_rejected(self) -> None:
        statuses = [
            self.request("PUT", f"/v1/runners/{name}/{do}").status
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
            answer = self.request(method, path)
            self.assertEqual((answer.status, dict(answer.headers)["Allow"]), (405, allowed))
        for path in ("/", "/v1/ready", "/v1/runners//suspend", "/v1/runners/a/b/suspend", "/v1/runners/s"):
            self.assertEqual(self.request("GET", path).status, 404)

    def test_metrics_have_every_class_from_the_start_and_quoted_labels(self) -> None:
        answer = self.request("GET", "/v1/metrics")
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


class HttpFrontTest(unittest.IsolatedAsyncioTestCase):
    """The operators' bounds on the HTTP driver."""

    async def asyncSetUp(self) -> None:
        self.counters = Counter[str]()
        limits = Limits(operators=OperatorLimits(connections=CONNECTIONS, request_us=60_000_000))
        http = HttpFront("operator", OperatorApi(FakeRouter(), limits), self.counters, lambda: 0)
        self.listener = await http.start("127.0.0.1", 0)
        self.addCleanup(self.listener.close)

    async def status_line(self, text: bytes) -> bytes:
        """Send this text on a connection of its own, and return the first line of the answer."""
        async with asyncio.timeout(PATIENCE_S):
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
            self.assertEqual((await self.status_line(text)).split()[1], status)

    async def test_callers_that_finish_no_call_lock_out_nobody(self) -> None:
        unfinished = [await asyncio.open_connection(*self.listener.address) for _ in range(6)]
        for _, writer in unfinished[::2]:
            writer.write(b"GET /v1")
        await wait_until(lambda: self.counters["operator.idle_evicted"] >= 6 - CONNECTIONS)
        answer = await self.status_line(b"GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(answer.split()[1], b"200")
        self.assertEqual(self.counters["operator.rejected"], 0)
        for _, writer in unfinished:
            writer.close()


class LongAnswerTest(unittest.TestCase):
    """The bounds of a process, and the longest answer."""

    def test_the_longest_answer_passes_the_bounds(self) -> None:
        limits = Limits.from_settings(settings(), 256, 80)
        self.assertGreater(limits.runners.line_bytes, 4 * ANSWER_BYTES / 3 + 1000)
        self.assertGreater(limits.clients.unread_bytes, 2 * 4 * ANSWER_BYTES / 3)
