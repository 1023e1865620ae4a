"""The operators' front without its sockets: readiness, metrics, members, runners and policy."""

import json
import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import unquote

from maplestile.common.toml_table import ConfigError
from maplestile.operation import metrics as exposition
from maplestile.operation.membership_json import encode_membership
from maplestile.operation.policy import PolicyOperations, PolicyReport
from maplestile.operation.runner_view import RunnerView
from maplestile.wire.http import (
    FrontLimits,
    HttpRequest,
    RequestRejected,
    Response,
    do_nothing,
    problem,
    require_method,
)
from maplestile.wire.limits import Limits

if TYPE_CHECKING:  # not loaded by a router without membership, to save start time and memory
    from maplestile.membership.view import MembershipView

READY = "/v1/readyz"
METRICS = "/v1/metrics"
MEMBERS = "/v1/members"
RUNNERS = "/v1/runners"
POLICY = "/v1/policy"
POLICY_CHECK = "/v1/policy/check"
RUNNER_ACTION_PATH = re.compile(r"/v1/runners/([^/]+)/(suspend|resume)")
TEXT_HEADERS = (("Content-Type", "text/plain; charset=utf-8"),)
METRICS_HEADERS = (("Content-Type", exposition.CONTENT_TYPE),)
JSON_HEADERS = (("Content-Type", "application/json"),)

Respond = Callable[[Response], None]


class RouterOperations(Protocol):
    """The operations of a router that the operators' front offers."""

    def not_ready_reason(self) -> str:
        """Return why the router cannot serve; empty if it can."""
        ...

    def metrics(self) -> exposition.MetricsReport:
        """Return the current values of the metrics."""
        ...

    @property
    def policy(self) -> PolicyOperations | None:
        """The router's policy driver; None if the policy is that of the router's own file."""
        ...

    def members(self) -> "MembershipView | None":
        """Return this instance's view of the membership; None if membership is off."""
        ...

    def runners(self) -> list[RunnerView]:
        """Return the listed runners."""
        ...

    def suspend(self, runner: str) -> bool:
        """Cordon a runner, and return whether it was ever listed; one that never was is not cordoned."""
        ...

    def resume(self, runner: str) -> bool:
        """Uncordon a runner, and return whether it was ever listed."""
        ...


class OperatorApi:
    """The application behind the operators' HTTP front."""

    def __init__(self, router: RouterOperations, limits: Limits) -> None:
        self.router = router
        self.bounds = FrontLimits(
            limits.operators.connections,
            limits.operators.request_us / 1e6,
            limits.operators.request_us,
            limits.operators.body_bytes if router.policy is None else limits.operators.policy_bytes,
            limits.operators.linger_us,
            limits.listeners.accept_burst,
            one_call=True,
        )
        self._views: dict[str, Callable[[], Response]] = {
            READY: self._ready,
            METRICS: self._metrics,
            MEMBERS: self._members,
            RUNNERS: self._runners,
        }

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None]:
        """Answer a request by calling `respond` once.

        The returned function, for a caller that disconnects first, does nothing: there is no call to cancel.
        """
        try:
            self._route(request, respond)
        except RequestRejected as rejection:
            respond(rejection.response)
        return do_nothing

    def _route(self, request: HttpRequest, respond: Respond) -> None:
        path = request.path.partition("?")[0]
        if path in (POLICY, POLICY_CHECK):
            self._policy(path, request, respond)
            return
        view = self._views.get(path)
        if view is None:
            respond(self._runner_action(path, request))
            return
        require_method(request, "GET")
        respond(view())

    def _ready(self) -> Response:
        reason = self.router.not_ready_reason()
        return problem(503, reason) if reason else Response(200, b"ready\n", TEXT_HEADERS)

    def _metrics(self) -> Response:
        return Response(200, exposition.encode_metrics(self.router.metrics()).encode(), METRICS_HEADERS)

    def _members(self) -> Response:
        view = self.router.members()
        if view is None:
            return problem(404, "membership is off: no [peers] in the operator's file")
        return _json_response(encode_membership(view))

    def _runners(self) -> Response:
        return _json_response({"runners": [runner.as_json() for runner in self.router.runners()]})

    def _runner_action(self, path: str, request: HttpRequest) -> Response:
        match = RUNNER_ACTION_PATH.fullmatch(path)
        if match is None:
            raise RequestRejected(problem(404, "no such resource"))
        require_method(request, "PUT")
        try:
            runner = unquote(match[1], errors="strict")
        except UnicodeDecodeError:
            raise RequestRejected(problem(400, "the runner's id is no UTF-8")) from None
        action = self.router.suspend if match[2] == "suspend" else self.router.resume
        if not action(runner):
            raise RequestRejected(problem(404, f"no runner '{runner}' was ever listed"))
        return Response(204)

    def _policy(self, path: str, request: HttpRequest, respond: Respond) -> None:
        """Answer the agent's policy requests: a status report, an announcement, or the check of a change."""
        policy = self.router.policy
        if policy is None:
            raise RequestRejected(problem(404, "the policy is this router's own: no [policy] in its file"))
        try:
            _answer_policy(policy, path, request, respond)
        except ValueError as error:
            raise RequestRejected(problem(400, f"no JSON: {error}")) from None
        except ConfigError as error:
            raise RequestRejected(problem(422, str(error))) from None


def _answer_policy(policy: PolicyOperations, path: str, request: HttpRequest, respond: Respond) -> None:
    """Answer a request about the policy. Raises ConfigError, RequestRejected or ValueError."""
    # Imported only where the fleet decides on the policy, to save start time and memory.
    from maplestile.operation import policy_json

    def respond_with(report: PolicyReport) -> None:
        respond(_json_response(policy_json.encode_report(report)))

    if path == POLICY_CHECK:
        require_method(request, "POST")
        policy.check(policy_json.decode_check(json.loads(request.body)))
        respond(_json_response(policy_json.encode_check_passed()))
    elif request.method == "PUT":
        policy.take_announcement(policy_json.decode_announcement(json.loads(request.body)), respond_with)
    else:
        require_method(request, "GET", "PUT")
        respond_with(policy.report())


def _json_response(payload: dict[str, Any]) -> Response:
    return Response(200, json.dumps(payload).encode(), JSON_HEADERS)
