"""A test harness for the core: a pool that only records, and a clock that the test advances."""

from maplestile.dispatch import api
from maplestile.requests.core import AttemptId, Core
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Request
from maplestile.wire.settings import settings_from
from tests.standins import params

START_US = 1_700_000_000_000_000
SEED = 7


class CoreHarness:
    """A core with a pool that only records what it is asked to send, and a clock that the test advances."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.now = START_US
        self.alarm_us = 0  # time of the alarm that the core has set; 0 if it is not set
        self.sent: list[AttemptId] = []
        self.cancelled: list[AttemptId] = []
        self.unwritten_attempts = set[AttemptId]()  # attempts that still wait for their connection
        self.core = Core(
            settings_from(params()), limits or Limits(), SEED, self, lambda: self.now, self._set_alarm
        )
        entries = tuple(
            api.WorkerEntry(f"s-{n}", "east", "std", 2, api.WorkerState.RUNNING, 4.0, 0) for n in range(2)
        )
        self.core.list_changed(api.WorkerListReceived(api.ListKind.CACHED, 1, entries))
        self.answers: list[Outcome] = []

    def _set_alarm(self, due_us: int) -> None:
        self.alarm_us = due_us

    def send(self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: AttemptId) -> None:
        self.cancelled.append(attempt)

    def drop_unwritten(self, attempt: AttemptId) -> bool:
        return attempt in self.unwritten_attempts

    def load(self, tag: int, worker: str, function: str, copies: int) -> None: ...
    def unload(self, worker: str, function: str) -> None: ...
    def check_health(self, tag: int, worker: str) -> None: ...
    def forget_control_request(self, tag: int) -> None: ...
    def close_idle(self, worker: str) -> None: ...

    def submit(self, class_name: str = "review", budget_us: int = 1_000_000, age_us: int = 0) -> int:
        """Submit a request that arrived `age_us` ago, and return its number; its answer goes to `answers`."""
        request = Request("t", "f", class_name, budget_us, 100.0, 4)
        return self.core.submit(request, self.now - age_us, self.answers.append)

    def run(self, duration_us: int) -> None:
        """Advance the clock, and run the timers of the core whenever its alarm is due."""
        end_us = self.now + duration_us
        while self.alarm_us and self.alarm_us <= end_us:
            self.now = max(self.now, self.alarm_us)
            self.alarm_us = 0
            self.core.tick()
        self.now = end_us
