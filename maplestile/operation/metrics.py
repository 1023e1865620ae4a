"""The metrics of a router, and their encoding in the Prometheus text exposition format (version 0.0.4)."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from maplestile.operation.policy import PolicyMetrics
from maplestile.wire.messages import Verdict

if TYPE_CHECKING:  # not loaded by a router without membership, to save start time and memory
    from maplestile.membership.view import MembershipMetrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "svc_"
COUNTER = "counter"
GAUGE = "gauge"

# The counters of final answers by class: name, help, and the verdicts that are counted.
ANSWER_COUNTERS = (
    ("success_total", "Requests served.", (Verdict.SERVED,)),
    ("busy_total", "Requests refused.", (Verdict.REJECTED,)),
    ("failure_total", "Requests failed, in time or out of it.", (Verdict.FAILED, Verdict.EXPIRED)),
)

# The counters of each epoch: the inner keys of `MetricsReport.epochs`.
EPOCH_COUNTERS = ("calls", "attempts")


@dataclass(slots=True, frozen=True)
class MetricsReport:
    """The values of the metrics at one moment; counters start at 0 with the process."""

    classes: tuple[str, ...]  # names of the classes, in the order of the samples
    answers: Mapping[tuple[str, Verdict], int]  # final answers by class and verdict
    backend_calls: int  # attempts that were written completely to runners
    inflight: int  # open calls
    hosts_listed: int  # listed runners
    hosts_down: int  # listed runners that get no calls: cordoned by operators or avoided by the dispatcher
    membership: "MembershipMetrics | None" = None  # None if membership is off
    policy: PolicyMetrics | None = None  # None if the policy is that of the router's own file
    # Counts by epoch and counter name; empty if the policy is that of the router's own file.
    epochs: Mapping[int, Mapping[str, int]] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Sample:
    """One value of a metric, with its encoded labels."""

    value: float
    labels: str = ""  # such as `{tier="x"}`; empty for none


@dataclass(slots=True, frozen=True)
class MetricFamily:
    """A metric with its name, type, help text and samples."""

    name: str
    kind: str  # COUNTER or GAUGE
    help: str
    samples: tuple[Sample, ...]

    def lines(self) -> Iterator[str]:
        """Yield the lines of the metric in the exposition format."""
        yield f"# HELP {PREFIX}{self.name} {self.help}"
        yield f"# TYPE {PREFIX}{self.name} {self.kind}"
        for sample in self.samples:
            yield f"{PREFIX}{self.name}{sample.labels} {sample.value}"


def encode_metrics(report: MetricsReport) -> str:
    """Return a report in the exposition format."""
    return "".join(f"{line}\n" for family in _families(report) for line in family.lines())


def escape_label_value(value: str) -> str:
    """Return a label's value, escaped as the exposition format requires."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _families(report: MetricsReport) -> Iterator[MetricFamily]:
    yield from _answer_families(report)
    yield _single_sample_family(
        "backend_calls_total", COUNTER, "Attempts written whole to runners.", report.backend_calls
    )
    yield _single_sample_family("inflight", GAUGE, "Requests taken and not ended.", report.inflight)
    yield _single_sample_family("hosts_listed", GAUGE, "Runners on the list.", report.hosts_listed)
    hosts_down_help = "Runners on the list that get no calls now, by hand or by choice."
    yield _single_sample_family("hosts_down", GAUGE, hosts_down_help, report.hosts_down)
    if report.membership is not None:
        yield from _membership_families(report.membership)
    if report.policy is not None:
        yield from _policy_families(report.policy)
    if report.epochs:
        yield from _epoch_families(report)


def _single_sample_family(name: str, kind: str, help_text: str, value: float) -> MetricFamily:
    return MetricFamily(name, kind, help_text, (Sample(value),))


def _answer_families(report: MetricsReport) -> Iterator[MetricFamily]:
    for name, help_text, verdicts in ANSWER_COUNTERS:
        samples = tuple(
            Sample(
                sum(report.answers.get((class_name, verdict), 0) for verdict in verdicts),
                f'{{tier="{escape_label_value(class_name)}"}}',
            )
            for class_name in report.classes
        )
        yield MetricFamily(name, COUNTER, help_text, samples)


def _membership_families(metrics: "MembershipMetrics") -> Iterator[MetricFamily]:
    yield _single_sample_family(
        "peers_members_alive", GAUGE, "Members seen alive, this one among them.", metrics.alive
    )
    yield _single_sample_family(
        "peers_members_suspect", GAUGE, "Members suspected of having failed.", metrics.suspect
    )
    yield _single_sample_family(
        "peers_members_dead", GAUGE, "Members declared dead and still remembered.", metrics.dead
    )
    yield _single_sample_family(
        "peers_members_left", GAUGE, "Members that left and are still remembered.", metrics.left
    )
    isolated_help = "1 while this member sees less than a majority of the last view it agreed with."
    yield _single_sample_family("peers_isolated", GAUGE, isolated_help, metrics.isolated)
    yield _single_sample_family(
        "peers_health", GAUGE, "Local health: 0 is well, more is slow.", metrics.local_health
    )
    checks = metrics.health_checks
    if checks is not None:
        yield _single_sample_family(
            "peers_duties", GAUGE, "Runners that this member probes for all.", checks.assigned
        )
        overlap_help = "Duties done here while the last agreed view gave them to another."
        yield _single_sample_family("peers_duties_overlap", GAUGE, overlap_help, checks.overlap)


def _policy_families(metrics: PolicyMetrics) -> Iterator[MetricFamily]:
    epoch_help = "Epoch of the fleet's policy that new calls are decided under."
    yield _single_sample_family("policy_epoch", GAUGE, epoch_help, metrics.epoch)
    stale_help = "1 while this router is cut off, and its epoch may not be the last committed one."
    yield _single_sample_family("policy_stale", GAUGE, stale_help, metrics.stale)
    yield _single_sample_family(
        "policy_stale_seconds", GAUGE, "For how long; 0 while it is not.", metrics.stale_s
    )
    refused_help = "1 while this build or file refuses the committed epoch: no new call is taken."
    yield _single_sample_family("policy_refused", GAUGE, refused_help, metrics.refused)
    reloads_help = "SIGHUPs whose file told another policy than at the start."
    yield _single_sample_family(
        "policy_reloads_refused_total", COUNTER, reloads_help, metrics.reloads_refused
    )
    mixed_help = "Attempts decided under another epoch than their call; always 0."
    yield _single_sample_family("policy_mixed_calls_total", COUNTER, mixed_help, metrics.mixed_calls)


def _epoch_families(report: MetricsReport) -> Iterator[MetricFamily]:
    for counter in EPOCH_COUNTERS:
        samples = tuple(
            Sample(counts.get(counter, 0), f'{{epoch="{epoch}"}}') for epoch, counts in report.epochs.items()
        )
        yield MetricFamily(
            f"policy_{counter}_total", COUNTER, f"Decided under each epoch: {counter}.", samples
        )
