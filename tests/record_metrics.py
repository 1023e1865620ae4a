"""Recorders of the metrics in the exposition format, and of the names of all counters."""

import ast

from maplestile.membership.view import HealthCheckMetrics, MembershipMetrics
from maplestile.operation import metrics
from maplestile.operation.policy import PolicyMetrics
from maplestile.wire.messages import Verdict
from tests.recording import Recorder
from tests.standins import ROOT


def metrics_text() -> str:
    """Return the exposition of a fixed report that has every metric family."""
    answers = {
        ("review", Verdict.SERVED): 3,
        ("review", Verdict.REJECTED): 4,
        ("review", Verdict.FAILED): 1,
        ("review", Verdict.EXPIRED): 2,
        ('a"b', Verdict.SERVED): 5,
    }
    membership = MembershipMetrics(0, 1, 2, 3, 4, 5, HealthCheckMetrics(6, 7))
    policy = PolicyMetrics(0.5, 1.5, 2.5, 3.5, 4.5, 5.5)
    epochs = {3: {"calls": 7, "attempts": 8}, 4: {"calls": 1}}
    report = metrics.MetricsReport(("review", 'a"b'), answers, 7, 2, 5, 1, membership, policy, epochs)
    return metrics.encode_metrics(report)


def counter_names() -> str:
    """Return the names of all counters that the project's code increments; inserted values appear as `{}`."""
    names = set[str]()
    for file in (ROOT / "maplestile").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.AugAssign) and isinstance(node.target, ast.Subscript):
                names |= _texts(node.target.slice)
    return "\n".join(sorted(name for name in names if "." in name)) + "\n"


def _texts(node: ast.expr) -> set[str]:
    """Return the strings to which an expression may evaluate."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value}
    if isinstance(node, ast.IfExp):
        return _texts(node.body) | _texts(node.orelse)
    if isinstance(node, ast.JoinedStr):
        parts = (part.value if isinstance(part, ast.Constant) else "{}" for part in node.values)
        return {"".join(str(part) for part in parts)}
    return set()


RECORDERS: dict[str, Recorder] = {
    "metrics.txt": metrics_text,
    "counter-names.txt": counter_names,
}
