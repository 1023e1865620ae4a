"""The settings of a router, in the form and with the figures of the operators' pages for palash-main."""

from typing import Any

ZONES = ("north-block", "pond-block", "press-block")
TENANTS = (("shapla-tutors", 0.52, 69.0), ("nodi-schools", 0.24, 32.0), ("palash-readers", 0.24, 32.0))


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of the example of WIRE-maplestile.md."""
    return {
        "clientHabits": {"marksRetry": True},
        "countedBy": "work",
        "dcs": list(ZONES),
        "discovery": "push",
        "family": "warm",
        "familyInfo": {
            "answerWithinUs": 10_000_000,
            "countsAlike": True,
            "lingerIdleUs": 9_700_000,
            "loadFree": 0.0,
            "loadShare": 0.0,
            "loadsWithinUs": 0,
            "machineMb": [77248.0, 37952.0],
            "orders": True,
            "priceOfIdle": 0.05,
            "warmNotes": False,
            "whenAbsent": "load",
        },
        "grades": [
            _grade("review", 1_000_000, 5_000_000, "free", "all", 5_000_000, 0.1),
            _grade("deck-make", 2_000_000, 6_000_000, "guarded", "cell", 4_000_000, 0.1),
            _grade("test-submit", 1_200_000, 5_000_000, "single_shot", "all", 5_000_000, 0.2),
        ],
        "granularityUs": 4_000,
        "guarantees": {
            "answerSlackUs": 16_000,
            "askWithinUs": 10_000_000,
            "coldUs": 18_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 4.0,
            "overloadForUs": 2_000_000,
            "startCapacity": 0.16,
        },
        "index": 0,
        "instances": 3,
        "kinds": ["quad-std", "dual-slow"],
        "limits": {
            "attemptsCap": 5,
            "cancelling": True,
            "connectTimeoutUs": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400_000,
            "idleCloseUs": 15_000_000,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 1_000_000,
            "mayDuplicate": True,
            "mayTell": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 32,
        },
        "report": {"fields": ["queue"], "via": "answers"},
        "tenants": [{"name": name, "fraction": share, "quotaRps": quota} for name, share, quota in TENANTS],
        "weights": "nominal",
        "zone": "north-block",
    } | changes


def _grade(
    name: str, aim_us: int, deadline_us: int, semantics: str, scope: str, window_us: int, late: float
) -> dict[str, Any]:
    return {
        "name": name,
        "aimUs": aim_us,
        "deadlineUs": deadline_us,
        "semantics": semantics,
        "keyScope": scope,
        "windowUs": window_us,
        "lateValue": late,
        "points": 3.0,
        "stream": False,
    }
