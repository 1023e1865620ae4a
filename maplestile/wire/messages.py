"""The messages between the fronts, the core and the runners, whatever protocol carries them."""

from dataclasses import dataclass
from enum import Enum

Report = tuple[tuple[str, float], ...]
RECORD_BYTES = 4096  # what the records of one open request take, about
BODY_COPIES = 3  # of a request's body, while it is open


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    EXPIRED = "expired"  # failed because its time ran out


@dataclass(slots=True)
class Request:
    """What a caller asks for; `tag` names this try, `key` is the idempotency key of keyed classes."""

    tag: str
    function: str
    class_name: str
    budget_us: int
    memory_mb: float = 0.0
    lanes: int = 1
    cost_us: int = 0
    tenant: str = ""
    repeat: bool = False
    key: str = ""
    body: bytes = b""

    def bytes(self) -> int:
        """About what it takes while it is open: records, timers, the body, and its copy on the way out."""
        return RECORD_BYTES + BODY_COPIES * len(self.body)


@dataclass(slots=True)
class Outcome:
    verdict: Verdict
    body: bytes = b""
    retry_after_us: int = 0
    ran: bool = False  # an attempt may have run
