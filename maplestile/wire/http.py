"""What the HTTP fronts share beside h11: requests, responses, and errors as problem details (RFC 9457)."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

Headers = tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class HttpRequest:
    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    received_us: int = 0


@dataclass(slots=True, frozen=True)
class Response:
    status: int
    body: bytes = b""
    headers: Headers = ()


@dataclass(slots=True, frozen=True)
class Bounds:
    """What a front lets its callers have."""

    connections: int
    idle_s: float  # silence before the first byte of a request
    request_us: int  # for a whole request from its first bytes
    body_bytes: int
    linger_us: int  # to read away what follows a refusal
    accept_burst: int
    one_call: bool = False  # a connection, and then it is closed


class Application(Protocol):
    """What a front answers by; it knows no socket."""

    bounds: Bounds  # read at each use: a reload may change them

    def handle(self, request: HttpRequest, respond: Callable[[Response], None]) -> Callable[[], None]:
        """Answer through `respond`, once; what is returned is called if the caller leaves first."""
        ...


class Refused(Exception):
    """Ends the handling of a request with a response."""

    def __init__(self, response: Response) -> None:
        super().__init__(response.status)
        self.response = response


def nothing() -> None:
    """What there is to call off where the answer has been given already."""


def allow(request: HttpRequest, *methods: str) -> None:
    if request.method not in methods:
        raise Refused(problem(405, "no such method here", (("Allow", ", ".join(methods)),)))


def problem(status: int, detail: str, headers: Headers = ()) -> Response:
    told = {"type": "about:blank", "title": HTTPStatus(status).phrase, "status": status, "detail": detail}
    return Response(
        status, json.dumps(told).encode(), (("Content-Type", "application/problem+json"), *headers)
    )


def retry_after(wait_us: int) -> Headers:
    return (("Retry-After", str(max(1, -(-wait_us // 1_000_000)))),)
