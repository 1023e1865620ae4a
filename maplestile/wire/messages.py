"""The messages between fronts, core and runners, independent of the protocols that carry them."""

from dataclasses import dataclass
from enum import Enum

Report = tuple[tuple[str, float], ...]
"""A load report of a runner: pairs of name and value."""

RECORD_BYTES = 4096  # approximate memory of the records of one open request, without its body
BODY_COPIES = 3  # copies of the body that are in memory while a request is open


class Verdict(Enum):
    """The kind of the final answer to a request."""

    SERVED = "served"
    REJECTED = "refused"  # not run, so the client may safely send it again
    FAILED = "failed"
    EXPIRED = "expired"  # failed because its deadline passed


@dataclass(slots=True)
class Request:
    """A client's request."""

    tag: str  # identifies the request on connections to runners
    function: str
    class_name: str
    budget_us: int  # how long the client still waits, from the last byte of the request
    memory_mb: float = 0.0  # memory of one copy of the function; 0 if unknown
    lanes: int = 1  # calls that one copy runs concurrently
    cost_us: int = 0  # run time estimated by the client; 0 if it gave none
    tenant: str = ""  # empty if it gave none
    repeat: bool = False  # the client says that it has sent the request before
    key: str = ""  # idempotency key; empty if there is none
    body: bytes = b""

    def bytes(self) -> int:
        """Return the approximate memory of the request while it is open: records and copies of its body."""
        return RECORD_BYTES + BODY_COPIES * len(self.body)


@dataclass(slots=True)
class Outcome:
    """The final answer to a request."""

    verdict: Verdict
    body: bytes = b""  # empty unless the request was served
    retry_after_us: int = 0  # for a rejection: how long the client should wait; 0 for no wait
    may_have_run: bool = False  # whether an attempt may have run
