"""Reads the told settings, decoded from JSON, into `Settings`; the adapter and the program share it."""

from collections.abc import Mapping
from typing import Any

from maplestile.dispatch import api

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}


class SettingsError(Exception):
    """Settings that cannot be used; the text names the field."""


def settings_from(told: Mapping[str, Any]) -> api.Settings:
    try:
        limits, rules, fam = told["limits"], told["guarantees"], told.get("familyInfo", {})
        return api.Settings(
            classes=tuple(_class_from(grade) for grade in told["grades"]),
            dispatchers=told["instances"],
            zone=told.get("zone", ""),
            tick_us=told["granularityUs"],
            must_ask_for_list=told.get("discovery") == "ask",
            may_order=fam.get("orders", False),
            loads_on_miss=fam.get("whenAbsent", "load") == "load",
            keep_us=fam.get("lingerIdleUs", 0),
            kind_memory_mb=tuple(zip(told.get("kinds", []), fam.get("machineMb", []), strict=False)),
            order_timeout_us=fam.get("answerWithinUs", 0),
            order_window_us=fam.get("loadsWithinUs", 0),
            orders_free=fam.get("loadFree", 0),
            orders_per_call=fam.get("loadShare", 0),
            max_attempts=limits["attemptsCap"],
            may_cancel=limits["cancelling"],
            may_duplicate=limits["mayDuplicate"],
            may_probe=limits["probes"],
            answer_slack_us=rules["answerSlackUs"],
            drain_grace_us=rules["drainGraceUs"],
            cold_share=rules["startCapacity"],
            cold_us=rules["coldUs"],
            fall_multiple=rules["fallMultiple"],
            fall_us=rules["overloadForUs"],
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
        aim_us=grade["aimUs"],
        deadline_us=grade["deadlineUs"],
        effect=EFFECTS[grade["semantics"]],
        scope=api.Scope(grade.get("keyScope", "all")),
        window_us=grade.get("windowUs", 0),
        late_worth=grade.get("lateValue", 0.0),
    )
