"""Recorders of how policy documents and the platform's configuration are decoded."""

import json
from collections.abc import Iterator
from dataclasses import fields
from typing import Any, NamedTuple

from maplestile.common.toml_table import ConfigError
from maplestile.control.policy.document import Document
from maplestile.router.config import config_from
from maplestile.wire.limits import Limits
from tests.recording import Recorder, as_json, masked, plain
from tests.standins import params, target

JsonTables = dict[str, Any]


def policies() -> str:
    """Return the canonical text and the digest of each policy document, or the error of an invalid one."""
    call_class = {"name": "review", "aim_ms": 800, "deadline_ms": 4000, "semantics": "safe"}
    results: list[object] = []
    documents: tuple[object, ...] = (
        {},
        {"rules": {"keep_s": 9.7, "attempts": 3}},
        {"class": [call_class], "limits": {"records": 7}, "rules": {}},
        [],
        {"worker": []},
        {"limits": []},
        {"limits": {"sockets": 1}},
        {"rules": {"x": float("nan")}},
        {"rules": {"x": 20_000 * "x"}},
    )
    file = {"name": "r", "rules": {"attempts": 1}, "limits": {"sockets": 9, "records": 1}}
    for tables in documents:
        try:
            document = Document.from_tables(tables)
            results.append([document.text, document.digest(), document.applied_to(file)])
        except ConfigError as error:
            results.append(f"refused: {error}")
    return as_json(results)


def settings() -> str:
    """Return the router's configuration from a complete payload, a minimal one, and damaged ones."""
    complete = _complete_payload()
    complete_result = _decode_config(complete)
    minimal_result = _decode_config({"settings": params(familyInfo={}, kinds=[])})
    lines = [
        f"{damaged.place}: {_summarize(damaged.result, complete_result)}"
        for damaged in _decode_damaged(complete)
    ]
    return as_json([{"whole": complete_result}, {"least": minimal_result}]) + masked("\n".join(lines)) + "\n"


class DamagedResult(NamedTuple):
    """A damaged field and its damage, and the decoded configuration or the text of the error."""

    place: str
    result: Any


class Leaf(NamedTuple):
    """A value within nested lists, and its place as a path of indices."""

    place: str
    value: Any


def _complete_payload() -> JsonTables:
    """Return a payload that has every field."""
    targets = [target("s-0", 9001), target("s-1", 9002, "Terminating")]
    return {
        "name": "n0",
        "listen": "127.0.0.1:7000",
        "dns": "127.0.0.1:5353",
        "operator": "127.0.0.1:7001",
        "seed": "ff",
        "limits": {"sockets": 256, "memory_mb": 64},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"all": True, "targets": targets}}]},
        "settings": params(zone="z", discovery="ask", tenants=[{"name": "t"}]),
    }


def _decode_damaged(payload: JsonTables) -> Iterator[DamagedResult]:
    """Decode the payload with each field missing and with each of a wrong type; it is restored each time."""
    params_tables = payload["settings"]
    for place, tables in (
        ("", payload),
        ("settings", params_tables),
        ("limits", params_tables["limits"]),
        ("guarantees", params_tables["guarantees"]),
        ("familyInfo", params_tables["familyInfo"]),
        ("grades", params_tables["grades"][0]),
    ):
        for name in list(tables):
            value = tables.pop(name)
            yield DamagedResult(f"{place}.{name} missing", _decode_config(payload))
            tables[name] = {"odd": []}
            yield DamagedResult(f"{place}.{name} odd", _decode_config(payload))
            tables[name] = value


def _summarize(value: Any, complete: Any) -> str:
    """Return the error, or the values that differ from the complete configuration, each with its place."""
    if isinstance(value, str):
        return value
    before = dict(_leaves(complete, ""))
    after = dict(_leaves(value, ""))
    changed = [
        f"{place} {json.dumps(after.get(place))}"
        for place in sorted(before | after)
        if before.get(place) != after.get(place)
    ]
    return f"taken: {', '.join(changed) or 'as whole'}"


def _leaves(value: Any, place: str) -> Iterator[Leaf]:
    """Yield each value within nested lists."""
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _leaves(item, f"{place}/{index}")
    else:
        yield Leaf(place, value)


def _decode_config(payload: JsonTables) -> Any:
    """Return the decoded configuration as plain values, or the text of the error."""
    try:
        config = config_from(payload)
    except ConfigError as error:
        return f"refused: {error}"
    addresses = [config.name, config.listen, config.dns, config.operation, config.seed]
    return plain(
        [addresses, config.settings, _limit_values(config.limits), config.endpoints.visible_entries()]
    )


def _limit_values(limits: Limits) -> list[float]:
    """Return all limits as one list in the order of the recorded file, which predates their groups.

    The read sizes and the maximum Retry-After come before the last four limits.
    """
    moved = (limits.runners.read_bytes, limits.clients.read_bytes, limits.requests.max_retry_after_us)
    moved_fields = {("runners", "read_bytes"), ("clients", "read_bytes"), ("requests", "max_retry_after_us")}
    values = [
        getattr(getattr(limits, part.name), limit.name)
        for part in fields(limits)
        for limit in fields(getattr(limits, part.name))
        if (part.name, limit.name) not in moved_fields
    ]
    return [*values[:-4], *moved, *values[-4:]]


RECORDERS: dict[str, Recorder] = {
    "files-policy.json": policies,
    "files-settings.txt": settings,
}
