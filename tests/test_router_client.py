"""Tests of the agent's client of an operators' front, with responses that no router of ours sends."""

import asyncio
from types import SimpleNamespace
from typing import cast
from unittest.mock import patch

import pytest

from maplestile.agent import router_client
from maplestile.agent.router_client import InstanceProcess, OperatorReply, RouterClient
from maplestile.operation.client import FrontResponse

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


def test_detail_of_an_error_is_shown() -> None:
    assert reply_to('{"detail":" it drains "}') == OperatorReply(False, "it drains", 500)
