"""Tests of the operators' front in this process: routes, metrics, and limits on connections."""

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

MAX_CONNECTIONS = 2  # of the operators' front
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
    """A router that accepts commands for the runner `s 1` only, and records all commands."""

    def __init__(self) -> None:
        self.missing = ""  # why the router is not ready; empty if it is
        self.commands: list[str] = []
        self.policy: PolicyOperations | None = None
        self.membership: MembershipView | None = None

    def not_ready_reason(self) -> str:
        return self.missing

    def metrics(self) -> exposition.MetricsReport:
        return REPORT

    def members(self) -> MembershipView | None:
        return self.membership

    def runners(self) -> list[RunnerView]:
        return [RunnerView(id="s-0", suspended=False, avoided=False, inflight=2)]

    def suspend(self, runner: str) -> bool:
        self.commands.append(f"suspend {runner}")
        return runner == "s 1"

    def resume(self, runner: str) -> bool:
        self.commands.append(f"resume {runner}")
        return runner == "s 1"


class RoutesTest(unittest.TestCase):
    """The response of the operators' front to each kind of request."""

    def setUp(self) -> None:
        self.router = FakeRouter()
        self.api = OperatorApi(self.router, Limits())

    def request(self, method: str, path: str) -> Response:
        """Handle a request, and return its response; there must be exactly one."""
        answers = list[Response]()
        self.api.handle(HttpRequest(method, path), answers.append)
        (answer,) = answers
        return answer

    def test_readiness_response_states_the_reason(self) -> None:
        self.assertEqual(self.request("GET", "/v1/readyz").status, 200)
        self.router.missing = "no runner is listed"
        answer = self.request("GET", "/v1/readyz")
        self.assertEqual((answer.status, b"no runner is listed" in answer.body), (503, True))

    def test_runners_are_json_with_keys_in_fixed_order(self) -> None:
        answer = self.request("GET", "/v1/runners")
        expected = b'{"runners": [{"id": "s-0", "suspended": false, "avoided": false, "inflight": 2}]}'
        self.assertEqual((answer.status, answer.body), (200, expected))

    def test_membership_is_json_with_keys_in_fixed_order(self) -> None:
        self.assertEqual(self.request("GET", "/v1/members").status, 404)
        self.router.membership = MEMBERSHIP
        answer = self.request("GET", "/v1/members")
        self.assertEqual((answer.status, answer.body.decode()), (200, MEMBERSHIP_JSON))

    def test_membership_has_null_without_shared_health_checks(self) -> None:
        self.router.membership = replace(MEMBERSHIP, health_checks=None)
        answer = self.request("GET", "/v1/members")
        self.assertTrue(answer.body.endswith(b', "watch": null}'), answer.body)

    def test_runner_ids_are_percent_decoded_and_unknown_ones_rejected(self) -> None:
        statuses = [
            self.request("PUT", f"/v1/runners/{runner}/{command}").status
            for runner, command in (
                ("s%201", "suspend"),
                ("s%201", "resume"),
                ("s-2", "suspend"),
                ("s-2", "resume"),
                ("%ff", "suspend"),
            )
        ]
        self.assertEqual(statuses, [204, 204, 404, 404, 400])
        self.assertEqual(self.router.commands, ["suspend s 1", "resume s 1", "suspend s-2", "resume s-2"])

    def test_rejects_wrong_methods_and_paths(self) -> None:
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

    def test_metrics_list_classes_without_calls_and_escape_labels(self) -> None:
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
    """The limits of the operators' front, over real connections."""

    async def asyncSetUp(self) -> None:
        self.counters = Counter[str]()
        limits = Limits(operators=OperatorLimits(connections=MAX_CONNECTIONS, request_us=60_000_000))
        http = HttpFront("operator", OperatorApi(FakeRouter(), limits), self.counters, lambda: 0)
        self.listener = await http.start("127.0.0.1", 0)
        self.addCleanup(self.listener.close)

    async def status_line(self, text: bytes) -> bytes:
        """Send a text on a new connection, and return the first line of the response."""
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(*self.listener.address)
            writer.write(text)
            answer = await reader.read()  # to the end: the front closes after one response
            writer.close()
            return answer.split(b"\r\n")[0]

    async def test_closes_after_one_response_and_rejects_malformed_requests(self) -> None:
        for text, status in (
            (b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", b"200"),
            (b"hello\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + 20_000 * b"a", b"431"),
            (b"PUT /v1/runners/s/resume HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n", b"413"),
        ):
            self.assertEqual((await self.status_line(text)).split()[1], status)

    async def test_unfinished_requests_do_not_block_other_callers(self) -> None:
        unfinished = [await asyncio.open_connection(*self.listener.address) for _ in range(6)]
        for _, writer in unfinished[::2]:
            writer.write(b"GET /v1")
        await wait_until(lambda: self.counters["operator.idle_evicted"] >= 6 - MAX_CONNECTIONS)
        answer = await self.status_line(b"GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(answer.split()[1], b"200")
        self.assertEqual(self.counters["operator.rejected"], 0)
        for _, writer in unfinished:
            writer.close()


class LongAnswerTest(unittest.TestCase):
    """The longest result, compared with the limits of a process."""

    def test_longest_result_is_within_the_limits(self) -> None:
        limits = Limits.from_settings(settings(), 256, 80)
        self.assertGreater(limits.runners.line_bytes, 4 * ANSWER_BYTES / 3 + 1000)
        self.assertGreater(limits.clients.unread_bytes, 2 * 4 * ANSWER_BYTES / 3)
