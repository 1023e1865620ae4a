"""The messages between the fronts, the core and the runners, whatever protocol carries them."""

from dataclasses import dataclass
from enum import Enum

Report = tuple[tuple[str, float], ...]
"""A runner's load report: names and values."""

RECORD_BYTES = 4096  # approximate memory of the records of one open request
BODY_COPIES = 3  # of a request's body, while it is open


class Verdict(Enum):
    """The kind of the final answer to a request."""

    SERVED = "served"
    REJECTED = "refused"  # rejected: the client may safely send it again
    FAILED = "failed"
    EXPIRED = "expired"  # failed because its time ran out


@dataclass(slots=True)
class Request:
    """A client's request."""

    tag: str  # names it on the connections to runners
    function: str
    class_name: str
    budget_us: int  # the time that the client still gives it
    memory_mb: float = 0.0  # of one copy of the function; 0 if not known
    lanes: int = 1  # calls that one copy runs at a time
    cost_us: int = 0  # the client's estimate of the work; 0 if it gave none
    tenant: str = ""
    repeat: bool = False  # the client says that it has sent the request before
    key: str = ""  # the idempotency key, if any
    body: bytes = b""

    def bytes(self) -> int:
        """Return about how much memory it takes while it is open: its records, its body, and copies of it."""
        return RECORD_BYTES + BODY_COPIES * len(self.body)


@dataclass(slots=True)
class Outcome:
    """The final answer to a request."""

    verdict: Verdict
    body: bytes = b""
    retry_after_us: int = 0
    ran: bool = False  # an attempt may have run
