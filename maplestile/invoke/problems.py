"""What a caller of the invoke API is told of an outcome."""

from maplestile.wire.http import Response, problem, retry_after
from maplestile.wire.messages import Outcome, Verdict


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
