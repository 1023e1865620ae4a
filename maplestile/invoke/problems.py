"""Converts the outcome of a call to the HTTP response of the invoke API."""

from maplestile.wire.http import Response, problem, retry_after
from maplestile.wire.messages import Outcome, Verdict

RESULT_HEADERS = (("Content-Type", "application/octet-stream"),)


def response_to(outcome: Outcome) -> Response:
    """Return the result of a served call, or the problem details of any other."""
    match outcome.verdict:
        case Verdict.SERVED:
            return Response(200, outcome.body, RESULT_HEADERS)
        case Verdict.REJECTED:
            return problem(503, "refused; trying again is harmless", retry_after(outcome.retry_after_us))
        case Verdict.EXPIRED:
            return problem(504, "the deadline lapsed")
        case Verdict.FAILED:
            execution = "it may have run" if outcome.may_have_run else "it did not run"
            return problem(502, f"the call failed; {execution}")
