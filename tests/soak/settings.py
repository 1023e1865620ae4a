"""The deployment of a trial: classes, limits and the rules' figures. None of it is a real deployment's."""

from typing import Any

from tests.standins import params

ROUTERS = 3
WORKERS = 4
LONGEST_DEADLINE_S = 3.0
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # from SIGTERM to SIGKILL at the soonest
WINDOW_S = 1.0  # deduplication window of the keyed class
DRAIN_GRACE_S = 2.0
RULE_SLACK_S = 0.05  # by which the rules' time limits are longer on sockets
LATE_S = 0.5  # an answer that comes later than this after its deadline is lost
GONE_S = 0.1  # after it, no attempt may begin for a client that has gone
CROSSING_S = 0.05  # a request that crosses the end of its connection within this time is sent again
SAFE, KEYED, UNSAFE = "review", "deck-make", "test-submit"
CLASSES = (SAFE, KEYED, UNSAFE)


def router_settings() -> dict[str, Any]:
    """Return the changes to the settings of the stand-ins' routers."""
    figures = {
        "aimUs": 1_000_000,
        "deadlineUs": int(LONGEST_DEADLINE_S * 1e6),
        "keyScope": "cell",
        "windowUs": int(WINDOW_S * 1e6),
    }
    common = params()
    return {
        "grades": [grade | figures for grade in common["grades"]],
        "instances": ROUTERS,
        "limits": common["limits"] | {"connectTimeoutUs": 250_000},
    }
