"""Tests of the agent's client of an operators' front, with responses that no router of ours sends."""

import asyncio
from collections.abc import Mapping
from types import SimpleNamespace
from typing import cast
from unittest.mock import patch

import pytest

from maplestile.agent import router_client
from maplestile.agent.health_reporter import VIEW_MAX_AGE_S, HealthReporter
from maplestile.agent.instance import RouterHandle
from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.agent.router_client import InstanceProcess, OperatorReply, RouterClient
from maplestile.operation.client import CallError, FrontResponse

SETTINGS = SimpleNamespace(operator_address="127.0.0.1:9", router_file=None)


def reply_to(body: str) -> OperatorReply:
    """Return the reply that the client makes of an error response with this body."""

    async def respond(*_: object) -> FrontResponse:
        return FrontResponse(500, body)

    process = cast(InstanceProcess, SimpleNamespace(settings=SETTINGS))
    with patch.object(router_client, "call", respond):
        return asyncio.run(RouterClient(process).send_request("GET", "/v1/readyz"))


@pytest.mark.parametrize("body", ['{"detail":5}', '{"detail":null}', '{"detail":["x"]}', "[1]", "5", "x"])
def test_error_without_a_text_detail_is_shown_as_it_came(body: str) -> None:
    """Guards against an agent's command that fails on what another process has sent."""
    assert reply_to(body) == OperatorReply(False, body, 500)


def lost_members(response: FrontResponse | CallError) -> set[str] | None:
    """Return what the client makes of this response, or failure, to its question for the lost members."""

    async def respond(*_: object) -> FrontResponse:
        if isinstance(response, CallError):
            raise response
        return response

    process = cast(InstanceProcess, SimpleNamespace(settings=SETTINGS))
    with patch.object(router_client, "call", respond):
        return asyncio.run(RouterClient(process).fetch_lost_members())


def test_router_that_does_not_tell_its_view_of_the_members_is_not_taken_for_one_that_sees_none_lost() -> None:
    """Guards against a rollout over its budget, because a router's silence counted as "none is lost"."""
    view = '{"members":[{"name":"r2","status":"dead"}],"watch":{"silent":["w1"]}}'
    assert lost_members(FrontResponse(200, view)) == {"r2", "w1"}
    assert lost_members(FrontResponse(404, "membership is off")) == set()
    for failure in (FrontResponse(500, "x"), FrontResponse(200, view[:20]), FrontResponse(200, "{}")):
        assert lost_members(failure) is None
    assert lost_members(CallError("no answer")) is None


def test_last_view_of_a_silent_router_counts_for_a_limited_time() -> None:
    """Guards against lost members that are forgotten as soon as the router that saw them does not answer."""
    routers = cast(Mapping[str, RouterHandle], {"r1": None, "r2": None})
    reporter = HealthReporter("a1", cast(ReplicatedLog, None), routers, ())
    steps: list[tuple[list[set[str] | None], float, set[str]]] = [
        ([{"w1"}, {"w2"}], 0.0, {"w1", "w2"}),
        ([None, {"w3"}], VIEW_MAX_AGE_S / 2, {"w1", "w3"}),
        ([None, None], VIEW_MAX_AGE_S, {"w1", "w3"}),
        ([None, None], VIEW_MAX_AGE_S + 1.0, {"w3"}),
        ([set(), set()], VIEW_MAX_AGE_S + 2.0, set()),
    ]
    for answers, now_s, lost in steps:
        reporter.update_lost_members(answers, now_s)
        assert reporter.lost_members == lost


def test_detail_of_an_error_is_shown() -> None:
    assert reply_to('{"detail":" it drains "}') == OperatorReply(False, "it drains", 500)
