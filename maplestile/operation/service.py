"""The router as its operators see it: what its parts know at the moment of the call."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from maplestile.operation.cordons import Cordons
from maplestile.operation.metrics import MetricsReport
from maplestile.operation.policy import PolicyOperations
from maplestile.operation.runner_view import RunnerView
from maplestile.requests.core import Core
from maplestile.requests.endpoint_list import EndpointList

if TYPE_CHECKING:  # a router without membership loads none of it: start time and memory
    from maplestile.membership.view import MembershipMetrics, MembershipView


@dataclass(slots=True, frozen=True)
class OperatorService:
    """Implements `operation.api.OperatedRouter` over the parts of a router process."""

    core: Core
    endpoints: EndpointList
    cordons: Cordons
    count_backend_calls: Callable[[], int]
    not_ready_reason: Callable[[], str]  # empty where the router can serve
    membership_view: "Callable[[], MembershipView | None]"  # None where membership is off
    membership_metrics: "Callable[[], MembershipMetrics | None]"  # None where membership is off
    policy: PolicyOperations | None = None  # where the fleet decides on it

    def ready(self) -> str:
        """Return why the router cannot serve yet; empty if it can."""
        return self.not_ready_reason()

    def metrics(self) -> MetricsReport:
        """Return the metrics at this moment."""
        listed = self.endpoints.entries.keys()
        return MetricsReport(
            classes=self._class_names(),
            answers=self.core.answers,
            backend_calls=self.count_backend_calls(),
            inflight=len(self.core.open),
            hosts_listed=len(listed),
            hosts_down=len(listed & (self.endpoints.suspended | self.core.avoided())),
            membership=self.membership_metrics(),
            policy=None if self.policy is None else self.policy.metrics(),
            epochs={} if self.policy is None else self.core.epochs,
        )

    def members(self) -> "MembershipView | None":
        """Return this instance's view of membership; None where membership is off."""
        return self.membership_view()

    def runners(self) -> list[RunnerView]:
        """Return the runners listed, sorted by id."""
        in_flight = Counter(attempt.worker for attempt in self.core.in_flight.values())
        avoided = self.core.avoided()
        return [
            RunnerView(
                id=runner,
                suspended=runner in self.cordons.cordoned,
                avoided=runner in avoided,
                inflight=in_flight[runner],
            )
            for runner in sorted(self.endpoints.entries)
        ]

    def suspend(self, runner: str) -> bool:
        """Cordon a runner; false for one that was never listed."""
        return self.cordons.suspend(runner)

    def resume(self, runner: str) -> bool:
        """Uncordon a runner; false for one that was never listed."""
        return self.cordons.resume(runner)

    def _class_names(self) -> tuple[str, ...]:
        """Return the classes in force, and those answered before that a policy has removed since."""
        in_force = [service_class.name for service_class in self.core.settings.classes]
        answered = sorted({name for name, _ in self.core.answers})
        return tuple(dict.fromkeys((*in_force, *answered)))
