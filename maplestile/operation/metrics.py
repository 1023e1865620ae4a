"""The figures, in the text format of Prometheus (version 0.0.4)."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from maplestile.wire.messages import Verdict

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "svc_"
ENDS = (
    ("success_total", "Requests served.", (Verdict.SERVED,)),
    ("busy_total", "Requests refused.", (Verdict.REFUSED,)),
    ("failure_total", "Requests failed, in time or out of it.", (Verdict.FAILED, Verdict.EXPIRED)),
)

MEMBERSHIP = {
    "members_alive": "Members seen alive, this one among them.",
    "members_suspect": "Members suspected of having failed.",
    "members_dead": "Members declared dead and still remembered.",
    "members_left": "Members that left and are still remembered.",
    "isolated": "1 while this member sees less than a majority of the last view it agreed with.",
    "health": "Local health: 0 is well, more is slow.",
    "duties": "Runners that this member probes for all.",
    "duties_overlap": "Duties done here while the last agreed view gave them to another.",
}

POLICY = {
    "epoch": ("gauge", "Epoch of the fleet's policy that new calls are decided under."),
    "stale": ("gauge", "1 while this router is cut off, and its epoch may not be the last committed one."),
    "stale_seconds": ("gauge", "For how long; 0 while it is not."),
    "refused": ("gauge", "1 while this build or file refuses the committed epoch: no new call is taken."),
    "reloads_refused_total": ("counter", "SIGHUPs whose file told another policy than at the start."),
    "mixed_calls_total": ("counter", "Attempts decided under another epoch than their call; always 0."),
}


@dataclass(slots=True, frozen=True)
class MetricsReport:
    """What stood at the moment of the call; the counts go from 0 at the start of the process."""

    classes: tuple[str, ...]
    answers: Mapping[tuple[str, Verdict], int]
    backend_calls: int
    inflight: int
    hosts_listed: int
    hosts_down: int
    membership: Mapping[str, int] = field(default_factory=dict)  # where routers know each other
    policy: Mapping[str, float] = field(default_factory=dict)  # where the fleet decides on it
    epochs: Mapping[int, Mapping[str, int]] = field(default_factory=dict)  # calls and attempts under each


def text(figures: MetricsReport) -> str:
    lines = list[str]()
    for name, told, verdicts in ENDS:
        samples = [
            (f'{{tier="{quoted(tier)}"}}', sum(figures.answers.get((tier, v), 0) for v in verdicts))
            for tier in figures.classes
        ]
        lines += _family(name, "counter", told, samples)
    for name, kind, told, value in (
        ("backend_calls_total", "counter", "Attempts written whole to runners.", figures.backend_calls),
        ("inflight", "gauge", "Requests taken and not ended.", figures.inflight),
        ("hosts_listed", "gauge", "Runners on the list.", figures.hosts_listed),
        (
            "hosts_down",
            "gauge",
            "Runners on the list that get no calls now, by hand or by choice.",
            figures.hosts_down,
        ),
    ):
        lines += _family(name, kind, told, [("", value)])
    for name, value in figures.membership.items():
        lines += _family(f"peers_{name}", "gauge", MEMBERSHIP[name], [("", value)])
    for name, number in figures.policy.items():
        lines += _family(f"policy_{name}", *POLICY[name], [("", number)])
    for what in ("calls", "attempts") if figures.epochs else ():
        samples = [(f'{{epoch="{epoch}"}}', told.get(what, 0)) for epoch, told in figures.epochs.items()]
        lines += _family(f"policy_{what}_total", "counter", f"Decided under each epoch: {what}.", samples)
    return "\n".join(lines) + "\n"


def _family(name: str, kind: str, told: str, samples: Iterable[tuple[str, float]]) -> list[str]:
    head = [f"# HELP {PREFIX}{name} {told}", f"# TYPE {PREFIX}{name} {kind}"]
    return head + [f"{PREFIX}{name}{labels} {value}" for labels, value in samples]


def quoted(label: str) -> str:
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
