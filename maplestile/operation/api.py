"""What operators may call: readiness, the figures, and runners taken out and put back. It knows no socket."""

import json
import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import unquote

from maplestile.common.toml_table import ConfigError
from maplestile.operation import metrics as figures
from maplestile.wire.http import Bounds, HttpRequest, Refused, Response, allow, nothing, problem
from maplestile.wire.limits import Limits

if TYPE_CHECKING:
    from maplestile.router.policy_driver import PolicyDriver

RUNNER = re.compile(r"/v1/runners/([^/]+)/(suspend|resume)")
READY, METRICS, MEMBERS, RUNNERS = "/v1/readyz", "/v1/metrics", "/v1/members", "/v1/runners"
POLICY, POLICY_CHECK = "/v1/policy", "/v1/policy/check"
PLAIN = (("Content-Type", "text/plain; charset=utf-8"),)


class Router(Protocol):
    """The router as its operators see it."""

    def ready(self) -> str:
        """Why it cannot serve yet; empty if it can."""
        ...

    def figures(self) -> figures.MetricsReport: ...

    @property
    def policy(self) -> "PolicyDriver | None":
        """Its part in the fleet's policy; None where the file decides."""
        ...

    def members(self) -> dict[str, Any] | None:
        """This instance's view of membership; None where membership is off."""
        ...

    def runners(self) -> list[dict[str, Any]]:
        """The runners listed: id, whether suspended by hand or avoided, and the attempts in flight there."""
        ...

    def suspend(self, runner: str) -> bool:
        """Take a runner out; false for one that was never listed."""
        ...

    def resume(self, runner: str) -> bool: ...


class OperatorApi:
    def __init__(self, router: Router, limits: Limits) -> None:
        self.router, whole_us = router, limits.operator_request_us
        self.bounds = Bounds(
            limits.operator_connections,
            whole_us / 1e6,
            whole_us,
            limits.operator_body_bytes if router.policy is None else limits.operator_policy_bytes,
            limits.operator_linger_us,
            limits.accept_burst,
            one_call=True,
        )

    def handle(self, request: HttpRequest, respond: Callable[[Response], None]) -> Callable[[], None]:
        try:
            self._answer(request, respond)
        except Refused as refused:
            respond(refused.response)
        return nothing

    def _answer(self, request: HttpRequest, respond: Callable[[Response], None]) -> None:
        path = request.path.partition("?")[0]
        if path in (POLICY, POLICY_CHECK):
            self._policy(path, request, respond)
        else:
            respond(self._plain(path, request))

    def _plain(self, path: str, request: HttpRequest) -> Response:
        if path == READY:
            allow(request, "GET")
            lacking = self.router.ready()
            return problem(503, lacking) if lacking else Response(200, b"ready\n", PLAIN)
        if path == METRICS:
            allow(request, "GET")
            told = figures.text(self.router.figures())
            return Response(200, told.encode(), (("Content-Type", figures.CONTENT_TYPE),))
        if path == MEMBERS:
            allow(request, "GET")
            if (view := self.router.members()) is None:
                return problem(404, "membership is off: no [peers] in the operator's file")
            return Response(200, json.dumps(view).encode(), (("Content-Type", "application/json"),))
        if path == RUNNERS:
            allow(request, "GET")
            told = json.dumps({"runners": self.router.runners()})
            return Response(200, told.encode(), (("Content-Type", "application/json"),))
        if (match := RUNNER.fullmatch(path)) is None:
            raise Refused(problem(404, "no such resource"))
        allow(request, "PUT")
        try:
            runner = unquote(match[1], errors="strict")
        except UnicodeDecodeError:
            raise Refused(problem(400, "the runner's id is no UTF-8")) from None
        change = self.router.suspend if match[2] == "suspend" else self.router.resume
        if not change(runner):
            raise Refused(problem(404, f"no runner '{runner}' was ever listed"))
        return Response(204)

    def _policy(self, path: str, request: HttpRequest, respond: Callable[[Response], None]) -> None:
        """By the agent: what is committed, and whether a change would fit here."""
        if (policy := self.router.policy) is None:
            raise Refused(problem(404, "the policy is this router's own: no [policy] in its file"))

        def told(what: dict[str, Any]) -> None:
            respond(Response(200, json.dumps(what).encode(), (("Content-Type", "application/json"),)))

        try:
            if path == POLICY_CHECK:
                allow(request, "POST")
                told(policy.check(json.loads(request.body)))
            elif request.method == "PUT":
                policy.hear(json.loads(request.body), told)
            else:
                allow(request, "GET", "PUT")
                told(policy.view())
        except ValueError as fault:
            raise Refused(problem(400, f"no JSON: {fault}")) from None
        except ConfigError as fault:
            raise Refused(problem(422, str(fault))) from None
