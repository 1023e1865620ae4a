"""The router as its operators see it: what its parts know, asked at the moment of the call."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from maplestile.operation.cordons import Cordons
from maplestile.operation.metrics import MetricsReport
from maplestile.requests.core import Core
from maplestile.requests.endpoint_list import EndpointList

if TYPE_CHECKING:  # a router whose policy is its file's loads nothing of it
    from maplestile.router.policy_driver import PolicyDriver


@dataclass(slots=True, frozen=True)
class OperatorService:
    core: Core
    fleet: EndpointList
    bans: Cordons
    backend_calls: Callable[[], int]
    lacking: Callable[[], str]
    view: Callable[[], dict[str, Any] | None]
    membership: Callable[[], dict[str, int]]  # empty where membership is off
    policy: "PolicyDriver | None" = None  # where the fleet decides on it

    def ready(self) -> str:
        return self.lacking()

    def figures(self) -> MetricsReport:
        listed = self.fleet.entries.keys()
        served = sorted({name for name, _ in self.core.answers})  # also of classes that a policy took away
        return MetricsReport(
            classes=tuple(dict.fromkeys((*(k.name for k in self.core.settings.classes), *served))),
            answers=self.core.answers,
            backend_calls=self.backend_calls(),
            inflight=len(self.core.open),
            hosts_listed=len(listed),
            hosts_down=len(listed & (self.fleet.suspended | self.core.avoided())),
            membership=self.membership(),
            policy={} if self.policy is None else self.policy.figures(),
            epochs={} if self.policy is None else self.core.epochs,
        )

    def members(self) -> dict[str, Any] | None:
        return self.view()

    def runners(self) -> list[dict[str, Any]]:
        flights = Counter(flight.worker for flight in self.core.flights.values())
        avoided = self.core.avoided()
        return [
            {
                "id": runner,
                "suspended": runner in self.bans.banned,
                "avoided": runner in avoided,
                "inflight": flights[runner],
            }
            for runner in sorted(self.fleet.entries)
        ]

    def suspend(self, runner: str) -> bool:
        return self.bans.suspend(runner)

    def resume(self, runner: str) -> bool:
        return self.bans.resume(runner)
