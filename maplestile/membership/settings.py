"""The membership settings: the `[peers]` table of an operator's file, checked.

An operator writes the table as follows. `invoke.operator_file` converts it to the router's form, which
`membership_settings_from` reads and describes.

    [peers]
    listen = "127.0.0.1:7946"          # UDP, loopback only
    seeds = ["127.0.0.1:7947"]         # members to join through; they report the other members
    advertise = "127.0.0.1:8946"       # where other members reach this one, if not at `listen`
    period_ms = 1000                   # the probe period
    ack_ms = 400                       # the timeout of a direct ack
    lifeguard = true                   # false for plain SWIM
    watch_ms = 1000                    # the interval of shared health checks of each runner; 0 for none
"""

from dataclasses import dataclass, replace
from typing import Any

from maplestile.common.address import Address
from maplestile.membership.tuning import Tuning

DEFAULT_TUNING = Tuning()
SEEDS_MAX = 64
PERIOD_MIN_US = 10_000
PERIOD_MAX_US = 60_000_000
ACK_MIN_US = 1_000
LOOPBACK_HOSTS = ("127.0.0.1", "localhost", "::1")
PORT_LIMIT = 1 << 16  # ports are below this


class MembershipSettingsError(ValueError):
    """Settings that are invalid; the text names the invalid field."""


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """The membership settings of one router."""

    listen: Address
    seeds: tuple[Address, ...]
    tuning: Tuning
    advertise: Address | None = None  # where other members reach this one; None for `listen`
    health_check_interval_us: int = 0  # of the shared health checks of each runner; 0 for none


def membership_settings_from(table: Any) -> MembershipSettings:
    """Parse the `[peers]` table in the router's form. Raises MembershipSettingsError.

    The table is `{"listen": "h:p", "seeds": [...], "periodUs", "ackUs", "lifeguard", "watchUs",
    "advertise"}`.
    """
    if not isinstance(table, dict):
        raise MembershipSettingsError("peers: must be a table")
    listen = _parse_address(table.get("listen"), "peers.listen")
    seeds = table.get("seeds", [])
    if not isinstance(seeds, list) or len(seeds) > SEEDS_MAX:
        raise MembershipSettingsError(f"peers.seeds: must be a list of at most {SEEDS_MAX} addresses")
    tuning = _parse_tuning(table)
    advertise = table.get("advertise")
    if advertise is not None:
        advertise = _parse_address(advertise, "peers.advertise")
    interval_us = _parse_health_check_interval_us(table)
    seed_addresses = tuple(_parse_address(seed, f"peers.seeds[{index}]") for index, seed in enumerate(seeds))
    return MembershipSettings(listen, seed_addresses, tuning, advertise, interval_us)


def _parse_tuning(table: dict[str, Any]) -> Tuning:
    period_us = table.get("periodUs", DEFAULT_TUNING.period_us)
    ack_us = table.get("ackUs", DEFAULT_TUNING.ack_us)
    lifeguard = table.get("lifeguard", DEFAULT_TUNING.lifeguard)
    if not isinstance(period_us, int) or not PERIOD_MIN_US <= period_us <= PERIOD_MAX_US:
        raise MembershipSettingsError("peers.period_ms: must be from 10 to 60000")
    if not isinstance(ack_us, int) or not ACK_MIN_US <= ack_us < period_us:
        raise MembershipSettingsError("peers.ack_ms: must be at least 1 and less than the period")
    if not isinstance(lifeguard, bool):
        raise MembershipSettingsError("peers.lifeguard: must be true or false")
    return replace(DEFAULT_TUNING, period_us=period_us, ack_us=ack_us, lifeguard=lifeguard)


def _parse_health_check_interval_us(table: dict[str, Any]) -> int:
    interval_us = table.get("watchUs", 0)
    if not isinstance(interval_us, int) or (
        interval_us and not PERIOD_MIN_US <= interval_us <= PERIOD_MAX_US
    ):
        raise MembershipSettingsError("peers.watch_ms: must be 0, or from 10 to 60000")
    return interval_us


def _parse_address(value: Any, field_path: str) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if host not in LOOPBACK_HOSTS or not port.isdigit() or not 0 <= int(port) < PORT_LIMIT:
        raise MembershipSettingsError(f"{field_path}: must be a loopback host:port")
    return ("127.0.0.1" if host == "localhost" else host), int(port)
