"""Changes of policy among many routers, on the model of the shipped decisions (`maplestile model`).

Times are the model's, from a commit to the last router that was not cut off or down; a share of the changes
is given up where agents are cut off or routers restart while they are checked.
"""

from statistics import mean
from typing import Any

from benchmarks.fit import Series
from maplestile.tools.model.policy import figures, parse, with_seeds

ROUTERS = (50, 100, 200, 570)
ROUTERS_AN_AGENT = 10
CHANGES = 10
SEEDS = 3


def plan(routers: int, **more: Any) -> dict[str, Any]:
    """An experiment with so many routers, in the form of its file."""
    agents = max(1, routers // ROUTERS_AN_AGENT)
    return {"kind": "policy", "seed": 5, "routers": routers, "agents": agents, "changes": CHANGES} | more


def played(experiment: dict[str, Any], seeds: int) -> list[dict[str, float | None]]:
    """The results of an experiment, one for each seed."""
    return [figures(seeded) for seeded in with_seeds(parse(experiment), seeds)]


def run(small: bool = False) -> list[Series]:
    """The series by routers."""
    last = Series("last router p99", "routers", "ms from the commit")
    cut = Series("changes given up, an agent cut off", "routers", "share")
    restarts = Series("changes given up, a restart each 5 s", "routers", "share")
    seeds = 1 if small else SEEDS
    for routers in (20, 40) if small else ROUTERS:
        quiet = played(plan(routers), seeds)
        last.add(routers, mean(float(result["last_applied_p99_ms"] or 0) for result in quiet))
        apart = played(plan(routers, cut=[{"at_s": 3, "for_s": 60, "agent": 1}]), seeds)
        cut.add(routers, mean(float(result["abort_rate"] or 0) for result in apart))
        downs = [{"at_s": 2 + 5 * n, "for_s": 4, "router": 7 * n % routers} for n in range(12)]
        restarted = played(plan(routers, down=downs), seeds)
        restarts.add(routers, mean(float(result["abort_rate"] or 0) for result in restarted))
    return [last, cut, restarts]
