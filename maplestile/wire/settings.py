"""Reads the told settings, decoded from JSON, into `Settings`; the adapter and the program share it."""

from collections.abc import Mapping
from typing import Any

from maplestile.dispatch import api

EFFECTS = {
    "free": api.Idempotency.IDEMPOTENT,
    "guarded": api.Idempotency.WITH_KEY,
    "single_shot": api.Idempotency.NOT_IDEMPOTENT,
}


class SettingsError(Exception):
    """Settings that cannot be used; the text names the field."""


def settings_from(told: Mapping[str, Any]) -> api.Settings:
    try:
        limits, rules, fam = told["limits"], told["guarantees"], told.get("familyInfo", {})
        return api.Settings(
            classes=tuple(_class_from(grade) for grade in told["grades"]),
            router_count=told["instances"],
            zone=told.get("zone", ""),
            tick_us=told["granularityUs"],
            must_poll_list=told.get("discovery") == "ask",
            may_request_loads=fam.get("orders", False),
            loads_on_miss=fam.get("whenAbsent", "load") == "load",
            keep_alive_us=fam.get("lingerIdleUs", 0),
            kind_memory_mb=tuple(zip(told.get("kinds", []), fam.get("machineMb", []), strict=False)),
            load_timeout_us=fam.get("answerWithinUs", 0),
            load_request_window_us=fam.get("loadsWithinUs", 0),
            load_requests_free=fam.get("loadFree", 0),
            load_requests_per_call=fam.get("loadShare", 0),
            max_attempts=limits["attemptsCap"],
            may_cancel=limits["cancelling"],
            may_hedge=limits["mayDuplicate"],
            may_probe=limits["probes"],
            answer_slack_us=rules["answerSlackUs"],
            drain_grace_us=rules["drainGraceUs"],
            slow_start_share=rules["startCapacity"],
            slow_start_us=rules["coldUs"],
            overload_multiple=rules["fallMultiple"],
            overload_window_us=rules["overloadForUs"],
            streams_per_connection=limits.get("streamsPerConn", 32),
            idle_close_us=limits.get("idleCloseUs", 0),
            connect_timeout_us=limits.get("connectTimeoutUs", 0),
            max_open=limits.get("maxOpen", 0),
            tenants=tuple(tenant["name"] for tenant in told.get("tenants", [])),
        )
    except KeyError as missing:
        raise SettingsError(f"lacks {missing}") from None
    except (TypeError, AttributeError, ValueError) as fault:
        raise SettingsError(f"is not as told: {fault}") from None


def _class_from(grade: Mapping[str, Any]) -> api.CallClass:
    if grade["semantics"] not in EFFECTS:
        raise SettingsError(f"has the unknown semantics '{grade['semantics']}'")
    return api.CallClass(
        name=grade["name"],
        latency_objective_us=grade["aimUs"],
        deadline_us=grade["deadlineUs"],
        idempotency=EFFECTS[grade["semantics"]],
        deduplication_scope=api.DeduplicationScope(grade.get("keyScope", "all")),
        deduplication_window_us=grade.get("windowUs", 0),
        late_priority_weight=grade.get("lateValue", 0.0),
    )
