"""Answers of the invoke API; errors are problem details (RFC 9457)."""

import json
from dataclasses import dataclass
from http import HTTPStatus

from maplestile.core import Outcome, Verdict

Headers = tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class Response:
    status: int
    body: bytes = b""
    headers: Headers = ()


def problem(status: int, detail: str, headers: Headers = ()) -> Response:
    told = {"type": "about:blank", "title": HTTPStatus(status).phrase, "status": status, "detail": detail}
    return Response(
        status, json.dumps(told).encode(), (("Content-Type", "application/problem+json"), *headers)
    )


def retry_after(wait_us: int) -> Headers:
    return (("Retry-After", str(max(1, -(-wait_us // 1_000_000)))),)


def of(outcome: Outcome) -> Response:
    match outcome.verdict:
        case Verdict.SERVED:
            return Response(200, outcome.body, (("Content-Type", "application/octet-stream"),))
        case Verdict.REFUSED:
            return problem(503, "refused; trying again is harmless", retry_after(outcome.retry_after_us))
        case Verdict.EXPIRED:
            return problem(504, "the deadline lapsed")
        case Verdict.FAILED:
            ran = "it may have run" if outcome.ran else "it did not run"
            return problem(502, f"the call failed; {ran}")
