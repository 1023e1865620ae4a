"""The whole configuration of one function router: read and checked before anything of it is used."""

from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from maplestile.common.address import Address, parse_address
from maplestile.common.toml_table import ConfigError
from maplestile.dispatch.api import Settings
from maplestile.membership.settings import MembershipSettings, MembershipSettingsError, plan_from
from maplestile.requests.endpoint_list import EndpointList, EndpointListError
from maplestile.wire.limits import Limits
from maplestile.wire.settings import SettingsError, settings_from

if TYPE_CHECKING:  # the platform's nodes do not load the second front
    from maplestile.invoke.operator_file import Operator

TOLD_BY_OPERATOR = ("tenants",)  # of the settings: the invoke front alone reads them


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    settings: Settings
    limits: Limits
    listen: Address | None
    dns: Address | None
    fleet: EndpointList
    seed: int
    operator: "Operator | None" = None
    operation: Address | None = None  # where operators call; what follows is of no use without it
    folder: Path | None = None  # that outlives this process, and is shared with the one that replaces it
    peers: MembershipSettings | None = (
        None  # membership among instances; never on the platform, where routers cannot talk
    )

    def restarts(self, new: "Config") -> list[str]:
        """What the new one tells otherwise and only a restart can take: the module and the budgets are
        built on it, or a listener stands there."""
        names = [f.name for f in fields(Settings) if f.name not in TOLD_BY_OPERATOR]
        changed = [f"settings.{n}" for n in names if getattr(self.settings, n) != getattr(new.settings, n)]
        told = "name", "listen", "operation", "folder", "limits", "peers"
        changed += [n for n in told if getattr(self, n) != getattr(new, n)]
        if self.operator is not None and new.operator is not None:
            changed += ["invoke.listen"] * (self.operator.listen != new.operator.listen)
            changed += ["policy"] * (self.operator.policy != new.operator.policy)
        return changed


def config_from(told: Mapping[str, Any], operator: "Operator | None" = None) -> Config:
    try:
        settings, limits, fleet = settings_from(told["settings"]), told.get("limits", {}), EndpointList()
        if operator is not None:
            settings = replace(settings, epoch=operator.epoch)
        fleet.apply_known(told.get("known", {"updates": []}))
        return Config(
            name=str(told.get("name", "")),
            settings=settings,
            limits=Limits.of(settings, int(limits.get("sockets", 1024)), float(limits.get("memory_mb", 192))),
            listen=parse_address(told["listen"]) if "listen" in told else None,
            dns=parse_address(told["dns"]) if "dns" in told else None,
            fleet=fleet,
            seed=int(str(told.get("seed", "0")), 16) & (1 << 63) - 1,
            operator=operator,
            operation=parse_address(told["operator"]) if told.get("operator") else None,
            folder=Path(told["folder"]) if told.get("folder") else None,
            peers=plan_from(told["peers"]) if told.get("peers") else None,
        )
    except KeyError as missing:
        raise ConfigError(f"lacks {missing}") from None
    except MembershipSettingsError as fault:
        raise ConfigError(str(fault)) from None
    except (SettingsError, EndpointListError) as fault:
        raise ConfigError(f"settings or known: {fault}") from None
    except (ValueError, TypeError, AttributeError) as fault:
        raise ConfigError(f"is not as told: {fault}") from None
