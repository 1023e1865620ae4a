"""The parameters of a call of the platform: its fields, and the forms that the protocol gives them."""

import binascii
import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from maplestile.dispatch.api import Idempotency, Settings
from maplestile.wire.limits import MessageLimits
from maplestile.wire.messages import Request

MAX_TEXT_LENGTH = 256
MAX_NUMBER = 1e9
CACHED_FIGURES = 1024  # texts whose parsed figures are cached
US_PER_MS = 1000
TXN_PATTERN = re.compile("[0-9a-fA-F]{16}")
NAME_PATTERN = re.compile("[0-9A-Za-z._-]{1,64}")
REPEAT_MARKS = (1, "1")  # values of the field that marks a client's retry
# The further figures of a call that the router knows, with their least values; others are skipped.
LEAST_FIGURES = {"memory_mb": 0.0, "lanes": 1.0, "load_ms": 0.0}


@dataclass(slots=True, frozen=True)
class AllowedNames:
    """The names of classes and tenants that a request may use."""

    classes: Mapping[str, bool]  # by name, whether requests need an idempotency key
    tenants: frozenset[str]  # empty if tenants are not checked

    @classmethod
    def from_settings(cls, settings: Settings) -> "AllowedNames":
        """Return the names in these settings."""
        classes = {
            call_class.name: call_class.idempotency is Idempotency.WITH_KEY for call_class in settings.classes
        }
        return cls(classes, frozenset(settings.tenants))


def parse_request(
    class_name: str, params: dict[str, Any], limits: MessageLimits, known: AllowedNames
) -> Request:
    """Return the request of a call; raises `ValueError` that names the first invalid field."""
    figures = _parse_figures(_string_param(params, "info", ""))
    limit_us = int(_number_param(params, "limit") * US_PER_MS)
    if not 0 < limit_us <= limits.max_budget_us:
        raise ValueError("field 'limit' is out of range")
    tenant = _string_param(params, "team", "")
    if known.tenants and tenant not in known.tenants:
        raise ValueError("field 'team' names no tenant")
    key = params.get("unique", "")
    if known.classes[class_name] or key:
        key = _name_param(params, "unique", NAME_PATTERN)
    tag = _name_param(params, "txn", TXN_PATTERN)
    function = _name_param(params, "item", NAME_PATTERN)
    memory_mb = figures.get("memory_mb", 0.0)
    lanes = int(figures.get("lanes", 1.0))
    cost_us = int(_number_param(params, "cpu", 0.0) * US_PER_MS)
    repeat = _is_repeat(params)
    body = _decode_body(params.get("blob", ""), limits)
    # Positional arguments: keywords would make decoding a request a tenth slower.
    return Request(tag, function, class_name, limit_us, memory_mb, lanes, cost_us, tenant, repeat, key, body)


@lru_cache(CACHED_FIGURES)
def _parse_figures(text: str) -> dict[str, float]:
    """Parse further figures of the form `name:value;name:value`; names that are not known are skipped.

    Raises ValueError for a known figure that is no number, out of range, or given twice. The result is
    cached: most calls are of few functions, so the same few texts recur.
    """
    figures = dict[str, float]()
    for part in text.split(";"):
        name, _, value = part.partition(":")
        least = LEAST_FIGURES.get(name)
        if least is None:
            continue
        if name in figures:
            raise ValueError(f"figure '{name}' stands twice in field 'info'")
        figures[name] = _parse_figure(name, value, least)
    return figures


def _parse_figure(name: str, text: str, least: float) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"figure '{name}' in field 'info' is no number") from None
    if not least <= value < MAX_NUMBER:
        raise ValueError(f"figure '{name}' in field 'info' is out of range")
    return value


def _is_repeat(params: dict[str, Any]) -> bool:
    """Return whether the call is marked as a client's retry; raises ValueError for any other mark."""
    mark = params.get("second")
    if mark is None:
        return False
    if mark not in REPEAT_MARKS:
        raise ValueError("field 'second' marks no retry")
    return True


def _string_param(params: dict[str, Any], name: str, default: str | None = None) -> str:
    value = params.get(name, default)
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise ValueError(f"field '{name}' is no short string")
    return value


def _name_param(params: dict[str, Any], name: str, pattern: re.Pattern[str]) -> str:
    """Return a name that matches the pattern.

    The form is strict since a name that a runner cannot read would end its connection, with all requests open
    on it.
    """
    value = params.get(name)
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise ValueError(f"field '{name}' is no name of its form")
    return value


def _number_param(params: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a number that is not negative, NaN or infinite; such a value would break the timers."""
    value: Any = params.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"field '{name}' is no number")  # noqa: TRY004 - a fault of the message
    if not 0 <= value < MAX_NUMBER:
        raise ValueError(f"field '{name}' is out of range")
    return value


def _decode_body(blob: Any, limits: MessageLimits) -> bytes:
    try:
        body = binascii.a2b_base64(blob, strict_mode=True)
    except (TypeError, ValueError):
        raise ValueError("field 'blob' is no base64") from None
    if len(body) > limits.body_bytes:
        raise ValueError("field 'blob' is too long")
    return body


def readable_tag(params: dict[str, Any]) -> str:
    """Return the transaction of a message that may be invalid; empty if it is not of its form."""
    txn = params.get("txn")
    return txn if isinstance(txn, str) and TXN_PATTERN.fullmatch(txn) else ""
