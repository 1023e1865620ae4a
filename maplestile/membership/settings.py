"""The `[peers]` table of an operator's file, read into the node's form and then into `MembershipSettings`.

[peers]
listen = "127.0.0.1:7946"          # UDP, loopback only
seeds = ["127.0.0.1:7947"]         # members asked first; the others are learned from them
advertise = "127.0.0.1:8946"       # where the others reach this member, if not at `listen` (a relay between)
period_ms = 1000                   # the protocol's period
ack_ms = 400                       # for a direct ack
lifeguard = true
watch_ms = 1000                    # each runner is probed so often, by the one member that owns it; 0 for off
"""

from dataclasses import dataclass, replace
from typing import Any

from maplestile.common.address import Address
from maplestile.membership.tuning import Tuning

SEEDS_MOST = 64


class MembershipSettingsError(ValueError):
    """A plan that cannot be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    listen: Address
    seeds: tuple[Address, ...]
    tuning: Tuning
    advertise: Address | None = None  # where the others reach this member, if not at `listen`
    watch_us: int = 0  # between the probes of one runner by its owner; 0 for none


def plan_from(told: Any) -> MembershipSettings:
    """From the node's form, `{"listen": "h:p", "seeds": [...], "periodUs", "ackUs", "lifeguard",
    "watchUs", "advertise"}`."""
    if not isinstance(told, dict):
        raise MembershipSettingsError("peers: must be a table")
    listen = _address(told.get("listen"), "peers.listen")
    seeds = told.get("seeds", [])
    if not isinstance(seeds, list) or len(seeds) > SEEDS_MOST:
        raise MembershipSettingsError(f"peers.seeds: must be a list of at most {SEEDS_MOST} addresses")
    period_us, ack_us = told.get("periodUs", 1_000_000), told.get("ackUs", 400_000)
    lifeguard = told.get("lifeguard", True)
    if not isinstance(period_us, int) or not 10_000 <= period_us <= 60_000_000:
        raise MembershipSettingsError("peers.period_ms: must be from 10 to 60000")
    if not isinstance(ack_us, int) or not 1_000 <= ack_us < period_us:
        raise MembershipSettingsError("peers.ack_ms: must be at least 1 and less than the period")
    if not isinstance(lifeguard, bool):
        raise MembershipSettingsError("peers.lifeguard: must be true or false")
    places = (_address(seed, f"peers.seeds[{n}]") for n, seed in enumerate(seeds))
    tuning = replace(Tuning(), period_us=period_us, ack_us=ack_us, lifeguard=lifeguard)
    advertise = told.get("advertise")
    shown = None if advertise is None else _address(advertise, "peers.advertise")
    watch_us = told.get("watchUs", 0)
    if not isinstance(watch_us, int) or watch_us and not 10_000 <= watch_us <= 60_000_000:
        raise MembershipSettingsError("peers.watch_ms: must be 0, or from 10 to 60000")
    return MembershipSettings(listen, tuple(places), tuning, shown, watch_us)


def _address(told: Any, place: str) -> Address:
    host, _, port = str(told).rpartition(":") if isinstance(told, str) else ("", "", "")
    if host not in ("127.0.0.1", "localhost", "::1") or not port.isdigit() or not 0 <= int(port) < 65536:
        raise MembershipSettingsError(f"{place}: must be a loopback host:port")
    return ("127.0.0.1" if host == "localhost" else host), int(port)
