"""Types that the HTTP fronts share: requests, responses, and errors as problem details (RFC 9457)."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from maplestile.common.text import shortened

Headers = tuple[tuple[str, str], ...]
"""Header fields, as names and values."""

US_PER_S = 1_000_000


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A complete HTTP request."""

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    received_us: int = 0  # when its last bytes were received


@dataclass(slots=True, frozen=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes = b""
    headers: Headers = ()


@dataclass(slots=True, frozen=True)
class FrontLimits:
    """The limits of a front's connections."""

    connections: int
    idle_s: float  # longest silence before the first byte of a request
    request_us: int  # time for a complete request, from its first bytes
    body_bytes: int
    linger_us: int  # time to read and discard input after a rejection
    accept_burst: int  # connections accepted in a row
    one_call: bool = False  # closes a connection after its first request


class Application(Protocol):
    """An application that answers the requests of an HTTP front, without doing I/O."""

    bounds: FrontLimits  # read at each use, since a reload may change them

    def handle(self, request: HttpRequest, respond: Callable[[Response], None]) -> Callable[[], None]:
        """Answer a request by calling `respond` once.

        The returned function is called if the caller disconnects before the answer.
        """
        ...


class RequestRejected(Exception):
    """The rejection of a request, with the response to send."""

    def __init__(self, response: Response) -> None:
        super().__init__(response.status)
        self.response = response


def do_nothing() -> None:
    """Do nothing; `Application.handle` returns this if the request is answered already."""


def require_method(request: HttpRequest, *methods: str) -> None:
    """Raise `RequestRejected` unless the request has one of the methods."""
    if request.method not in methods:
        raise RequestRejected(problem(405, "no such method here", (("Allow", ", ".join(methods)),)))


def problem(status: int, detail: str, headers: Headers = ()) -> Response:
    """Return an error response with problem details."""
    details = {
        "type": "about:blank",
        "title": HTTPStatus(status).phrase,
        "status": status,
        "detail": shortened(detail),
    }
    content_type = ("Content-Type", "application/problem+json")
    return Response(status, json.dumps(details).encode(), (content_type, *headers))


def retry_after(wait_us: int) -> Headers:
    """Return a `Retry-After` header of whole seconds, rounded up, at least 1."""
    seconds = -(-wait_us // US_PER_S)
    return (("Retry-After", str(max(1, seconds))),)
