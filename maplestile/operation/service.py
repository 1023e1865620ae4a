"""The operations that the operators' front offers, carried out by the components of a router process."""

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

if TYPE_CHECKING:  # not loaded by a router without membership, to save start time and memory
    from maplestile.membership.view import MembershipMetrics, MembershipView


@dataclass(slots=True, frozen=True)
class OperatorService:
    """The implementation of `operation.api.RouterOperations` by the components of a router process."""

    core: Core
    endpoints: EndpointList
    cordons: Cordons
    count_backend_calls: Callable[[], int]  # returns the attempts written completely to runners
    check_readiness: Callable[[], str]  # returns why the router cannot serve; empty if it can
    membership_view: "Callable[[], MembershipView | None]"  # returns None if membership is off
    membership_metrics: "Callable[[], MembershipMetrics | None]"  # returns None if membership is off
    policy: PolicyOperations | None = None  # None if the policy is that of the router's own file

    def not_ready_reason(self) -> str:
        """Return why the router cannot serve; empty if it can."""
        return self.check_readiness()

    def metrics(self) -> MetricsReport:
        """Return the current values of the metrics."""
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
        """Return this instance's view of the membership; None if membership is off."""
        return self.membership_view()

    def runners(self) -> list[RunnerView]:
        """Return the listed runners, sorted by id."""
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
        """Cordon a runner, and return whether it was ever listed; one that never was is not cordoned."""
        return self.cordons.suspend(runner)

    def resume(self, runner: str) -> bool:
        """Uncordon a runner, and return whether it was ever listed."""
        return self.cordons.resume(runner)

    def _class_names(self) -> tuple[str, ...]:
        """Return the classes in force, then those that have answers but were since removed by a policy."""
        in_force = [service_class.name for service_class in self.core.settings.classes]
        answered = sorted({name for name, _ in self.core.answers})
        return tuple(dict.fromkeys((*in_force, *answered)))
