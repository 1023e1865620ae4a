"""Reads the configuration of a router, and checks it completely before any of it is used."""

import json
import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from maplestile.common.address import Address, parse_address
from maplestile.common.toml_table import ConfigError
from maplestile.dispatch.api import Settings
from maplestile.requests.endpoint_list import EndpointList, EndpointListError
from maplestile.wire.limits import Limits
from maplestile.wire.settings import SettingsError, settings_from

if TYPE_CHECKING:  # not needed by the platform's nodes, which saves them start time and memory
    from maplestile.invoke.operator_file import OperatorSettings
    from maplestile.membership.settings import MembershipSettings

# Settings that only the invoke front reads; its own reload applies them.
INVOKE_SETTINGS = ("tenants",)
# Fields of `Config` that need a restart, because components are built from them or listeners bound to them.
RESTART_FIELDS = ("name", "listen", "operation", "folder", "limits", "peers")
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
SEED_MASK = (1 << 63) - 1  # limits the seed to 63 bits


@dataclass(slots=True, frozen=True)
class Config:
    """The checked configuration of one router process; a component whose address is None is switched off."""

    name: str
    settings: Settings
    limits: Limits
    listen: Address | None  # address of the platform front
    dns: Address | None  # address of the name server
    endpoints: EndpointList  # the endpoints known before the name server answers
    seed: int  # of the random number generator
    operator_settings: "OperatorSettings | None" = None  # from an operator's file, with the invoke front
    operation: Address | None = None  # address of the operators' front; `folder` has no effect without it
    folder: Path | None = None  # outlives this process, and is shared with its successor
    # Membership among instances; None on the platform, where routers cannot reach each other.
    peers: "MembershipSettings | None" = None

    def restart_only_changes(self, new: "Config") -> list[str]:
        """Return the names of the changes in `new` that require a restart."""
        names = [setting.name for setting in fields(Settings) if setting.name not in INVOKE_SETTINGS]
        changed = [f"settings.{name}" for name in _differing(names, self.settings, new.settings)]
        changed += _differing(RESTART_FIELDS, self, new)
        if self.operator_settings is not None and new.operator_settings is not None:
            if self.operator_settings.listen != new.operator_settings.listen:
                changed.append("invoke.listen")
            if self.operator_settings.records_folder != new.operator_settings.records_folder:
                changed.append("invoke.folder")
            if self.operator_settings.policy != new.operator_settings.policy:
                changed.append("policy")
        return changed


def _differing(names: Iterable[str], old: object, new: object) -> list[str]:
    """Return those of the named attributes in which two objects differ."""
    return [name for name in names if getattr(old, name) != getattr(new, name)]


def config_from(payload: Mapping[str, Any], operator: "OperatorSettings | None" = None) -> Config:
    """Check a decoded configuration and return it. Raises ConfigError for the first error found."""
    try:
        return _config_from(payload, operator)
    except KeyError as missing:
        raise ConfigError(f"lacks {missing}") from None
    except (SettingsError, EndpointListError) as error:
        raise ConfigError(f"settings or known: {error}") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"is not as told: {error}") from None


def config_from_environment() -> Config:
    """Read the configuration of a platform node from the JSON file named by `NODE_CONFIG`.

    Raises ConfigError if it is invalid, and OSError if the file cannot be read.
    """
    file = os.environ.get("NODE_CONFIG")
    if file is None:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        payload = json.loads(Path(file).read_bytes())
    except (ValueError, RecursionError) as error:  # RecursionError: the JSON is nested too deeply
        raise ConfigError(f"no JSON: {error}") from None
    if not isinstance(payload, dict):
        raise ConfigError("no JSON object")
    # A successor process reads the same file, but needs another address for its operators' front.
    payload["operator"] = os.environ.get("NODE_OPERATOR") or payload.get("operator")
    payload["folder"] = os.environ.get("TMPDIR")
    return config_from(payload)


def _config_from(payload: Mapping[str, Any], operator: "OperatorSettings | None") -> Config:
    settings = settings_from(payload["settings"])
    budgets = payload.get("limits", {})
    if operator is not None:
        settings = replace(settings, epoch=operator.epoch)
    endpoints = EndpointList()
    endpoints.apply_updates(payload.get("known", {"updates": []}))
    sockets = int(budgets.get("sockets", DEFAULT_SOCKETS))
    memory_mb = float(budgets.get("memory_mb", DEFAULT_MEMORY_MB))
    return Config(
        name=str(payload.get("name", "")),
        settings=settings,
        limits=Limits.from_settings(settings, sockets, memory_mb),
        listen=parse_address(payload["listen"]) if "listen" in payload else None,
        dns=parse_address(payload["dns"]) if "dns" in payload else None,
        endpoints=endpoints,
        seed=int(str(payload.get("seed", "0")), 16) & SEED_MASK,
        operator_settings=operator,
        operation=parse_address(payload["operator"]) if payload.get("operator") else None,
        folder=Path(payload["folder"]) if payload.get("folder") else None,
        peers=_peers_from(payload["peers"]) if payload.get("peers") else None,
    )


def _peers_from(payload: Any) -> "MembershipSettings":
    from maplestile.membership.settings import MembershipSettingsError, membership_settings_from

    try:
        return membership_settings_from(payload)
    except MembershipSettingsError as error:
        raise ConfigError(str(error)) from None
