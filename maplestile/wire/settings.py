"""Parses the platform's settings from decoded JSON; the router and the simulator adapter use it."""

from collections.abc import Mapping
from typing import Any

from maplestile.dispatch import api

IDEMPOTENCY_BY_SEMANTICS = {
    "free": api.Idempotency.IDEMPOTENT,
    "guarded": api.Idempotency.WITH_KEY,
    "single_shot": api.Idempotency.NOT_IDEMPOTENT,
}
DEFAULT_STREAMS_PER_CONNECTION = 32


class SettingsError(Exception):
    """Settings that cannot be used; the error text names the field."""


def settings_from(payload: Mapping[str, Any]) -> api.Settings:
    """Return the settings in a decoded JSON object; raises `SettingsError`."""
    try:
        return _settings_from(payload)
    except KeyError as missing:
        raise SettingsError(f"lacks {missing}") from None
    except (TypeError, AttributeError, ValueError) as error:
        raise SettingsError(f"is not as told: {error}") from None


def _settings_from(payload: Mapping[str, Any]) -> api.Settings:
    limits = payload["limits"]
    guarantees = payload["guarantees"]
    family = payload.get("familyInfo", {})
    return api.Settings(
        classes=tuple(_class_from(grade) for grade in payload["grades"]),
        router_count=payload["instances"],
        zone=payload.get("zone", ""),
        tick_us=payload["granularityUs"],
        must_poll_list=payload.get("discovery") == "ask",
        may_request_loads=family.get("orders", False),
        loads_on_miss=family.get("whenAbsent", "load") == "load",
        keep_alive_us=family.get("lingerIdleUs", 0),
        kind_memory_mb=tuple(zip(payload.get("kinds", []), family.get("machineMb", []), strict=False)),
        load_timeout_us=family.get("answerWithinUs", 0),
        load_request_window_us=family.get("loadsWithinUs", 0),
        load_requests_free=family.get("loadFree", 0),
        load_requests_per_call=family.get("loadShare", 0),
        max_attempts=limits["attemptsCap"],
        may_cancel=limits["cancelling"],
        may_hedge=limits["mayDuplicate"],
        may_probe=limits["probes"],
        answer_slack_us=guarantees["answerSlackUs"],
        drain_grace_us=guarantees["drainGraceUs"],
        slow_start_share=guarantees["startCapacity"],
        slow_start_us=guarantees["coldUs"],
        overload_multiple=guarantees["fallMultiple"],
        overload_window_us=guarantees["overloadForUs"],
        streams_per_connection=limits.get("streamsPerConn", DEFAULT_STREAMS_PER_CONNECTION),
        idle_close_us=limits.get("idleCloseUs", 0),
        connect_timeout_us=limits.get("connectTimeoutUs", 0),
        max_open=limits.get("maxOpen", 0),
        tenants=tuple(tenant["name"] for tenant in payload.get("tenants", [])),
    )


def _class_from(grade: Mapping[str, Any]) -> api.CallClass:
    semantics = grade["semantics"]
    if semantics not in IDEMPOTENCY_BY_SEMANTICS:
        raise SettingsError(f"has the unknown semantics '{semantics}'")
    return api.CallClass(
        name=grade["name"],
        latency_objective_us=grade["aimUs"],
        deadline_us=grade["deadlineUs"],
        idempotency=IDEMPOTENCY_BY_SEMANTICS[semantics],
        deduplication_scope=api.DeduplicationScope(grade.get("keyScope", "all")),
        deduplication_window_us=grade.get("windowUs", 0),
        late_priority_weight=grade.get("lateValue", 0.0),
    )
