"""Measure policy changes among many routers in the model (`maplestile model`), which runs the shipped logic.

The times are simulated, from a commit until the last router that was not cut off or down has applied it. Some
changes are aborted, because agents are cut off or routers restart while the changes are checked.
"""

from collections.abc import Sequence
from statistics import mean
from typing import Any

from benchmarks.fit import Series
from maplestile.tools.model import policy
from maplestile.tools.model.control_experiment import with_seeds
from maplestile.tools.model.policy_experiment import parse_experiment
from maplestile.tools.model.policy_metrics import PolicyMetrics

ROUTERS = (50, 100, 200, 570)
SMALL_ROUTERS = (20, 40)
RESTARTS = 12
ROUTERS_PER_AGENT = 10
CHANGES = 10
SEEDS = 3


def experiment(routers: int, **faults: Any) -> dict[str, Any]:
    """Return the tables of an experiment with this many routers, in the form of its file."""
    agents = max(1, routers // ROUTERS_PER_AGENT)
    return {"kind": "policy", "seed": 5, "routers": routers, "agents": agents, "changes": CHANGES} | faults


def run_seeds(tables: dict[str, Any], seeds: int) -> list[PolicyMetrics]:
    """Run an experiment with this many seeds and return the metrics of each run."""
    return [policy.run(seeded) for seeded in with_seeds(parse_experiment(tables), seeds)]


def _mean_abort_rate(runs: Sequence[PolicyMetrics]) -> float:
    return mean(float(metrics.abort_rate or 0) for metrics in runs)


def run(small: bool = False) -> list[Series]:
    """Return the series by number of routers; `small` selects a short run with few sizes."""
    last = Series("last router p99", "routers", "ms from the commit")
    cut = Series("changes given up, an agent cut off", "routers", "share")
    restarts = Series("changes given up, a restart each 5 s", "routers", "share")
    seeds = 1 if small else SEEDS
    for routers in SMALL_ROUTERS if small else ROUTERS:
        quiet = run_seeds(experiment(routers), seeds)
        last.add(routers, mean(float(metrics.last_applied_p99_ms or 0) for metrics in quiet))
        cuts = [{"at_s": 3, "for_s": 60, "agent": 1}]
        cut.add(routers, _mean_abort_rate(run_seeds(experiment(routers, cut=cuts), seeds)))
        downs = [{"at_s": 2 + 5 * n, "for_s": 4, "router": 7 * n % routers} for n in range(RESTARTS)]
        restarts.add(routers, _mean_abort_rate(run_seeds(experiment(routers, down=downs), seeds)))
    return [last, cut, restarts]
