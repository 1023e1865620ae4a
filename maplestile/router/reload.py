"""Reloads the configuration at SIGHUP; either all changes are applied or none."""

import asyncio
import json
import logging
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from maplestile.common.toml_table import ConfigError
from maplestile.net import bounded_reads
from maplestile.router.components import Components
from maplestile.router.config import Config
from maplestile.router.discovery import Discovery

log = logging.getLogger("maplestile")
MAX_READS = 10  # attempts to read the configuration while no file descriptor is free
RETRY_DELAY_S = 0.02


@dataclass(slots=True)
class ReloadResult:
    """The result of a reload, as it is printed."""

    error: str = ""  # empty if the configuration was applied
    applied: list[str] = field(default_factory=list)  # names of the applied changes
    restart_required: list[str] = field(default_factory=list)  # names of changes that require a restart

    def print(self) -> None:
        """Print the result as one line of JSON on standard error, for the agent."""
        output = {
            "ok": not self.error,
            "fault": self.error,
            "taken": self.applied,
            "restart": self.restart_required,
        }
        print(json.dumps({"reload": output}), file=sys.stderr, flush=True)


class Reloader:
    """The reload of the configuration of a running process."""

    def __init__(
        self, components: Components, discovery: Discovery, load_config: Callable[[], Config]
    ) -> None:
        self.components = components
        self.discovery = discovery
        self.load_config = load_config

    def reload(self, reads_left: int = MAX_READS) -> None:
        """Read and check the whole configuration, apply it, and print the result.

        If no file descriptor is free to read it, free one and retry later. `reads_left` is the number of
        attempts left, including this one.
        """
        result = ReloadResult()
        try:
            config = self._read(result)
        except (ConfigError, OSError) as error:
            if reads_left > 1 and isinstance(error, OSError) and error.errno in bounded_reads.NO_DESCRIPTOR:
                self._reload_later(reads_left - 1)
                return
            result.error = f"{type(error).__name__}: {error}"
            self._record_failure(result)
        else:
            self._apply(config, result)
        result.print()

    def _reload_later(self, reads_left: int) -> None:
        self.components.free_descriptor()
        asyncio.get_running_loop().call_later(RETRY_DELAY_S, self.reload, reads_left)

    def _record_failure(self, result: ReloadResult) -> None:
        components = self.components
        components.counters["reloads.failed"] += 1
        log.error("%s: reload failed; keeping the old configuration: %s", components.name, result.error)

    def _apply(self, config: Config, result: ReloadResult) -> None:
        components = self.components
        components.counters["reloads.taken"] += 1
        result.applied = self._apply_changes(config)
        log.info("%s: reloaded; applied changes: %s", components.name, ", ".join(result.applied) or "none")

    def _read(self, result: ReloadResult) -> Config:
        """Return the new configuration. Raises ConfigError or OSError if it cannot be applied."""
        config = self.load_config()
        result.restart_required = self.components.config.restart_only_changes(config)
        # Applying only a part would mix two configurations, perhaps even those of two customers.
        if result.restart_required:
            raise ConfigError(f"only a restart takes {', '.join(result.restart_required)}")
        return config

    def _apply_changes(self, config: Config) -> list[str]:
        """Apply the changes, none of which requires a restart, and return their names."""
        components = self.components
        applied = list[str]()
        old = components.config
        components.config = replace(old, dns=config.dns)
        if config.dns != old.dns:
            applied.append("dns")
            self.discovery.poll(config.dns)
            components.save_endpoints()  # the serials go on, so the list is now one of the new server
        if self._has_newer_endpoints(config):
            components.endpoints.replace(config.endpoints)
            components.publish_endpoints()
            applied.append("known")
        invoke = components.invoke
        if (
            invoke is not None
            and config.operator_settings is not None
            and invoke.api.reload(config.operator_settings)
        ):
            applied.append("invoke")
        return applied

    def _has_newer_endpoints(self, config: Config) -> bool:
        """Return whether the endpoint list of the file replaces the current one.

        Serials are compared across reloads: a file older than the name server's last list must not bring back
        a worker that has gone. Without a name server, the file is the only source, and any change counts.
        """
        endpoints = self.components.endpoints
        version = config.endpoints.version
        if version != endpoints.version and not endpoints.is_newer_than(version):
            return True
        return config.dns is None and config.endpoints.entries != endpoints.entries
