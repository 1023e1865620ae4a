"""Reload of the configuration at SIGHUP: all differences are applied, or none."""

import asyncio
import json
import logging
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from maplestile.common.toml_table import ConfigError
from maplestile.net import reads
from maplestile.router.components import Components
from maplestile.router.config import Config
from maplestile.router.discovery import Discovery

log = logging.getLogger("maplestile")
MAX_READS = 10  # tries to read a configuration while there is no file descriptor for it
RETRY_DELAY_S = 0.02


@dataclass(slots=True)
class ReloadResult:
    """How a reload ended, as it is printed."""

    error: str = ""  # empty if the configuration was taken
    taken: list[str] = field(default_factory=list)  # the names of what has changed
    restarts: list[str] = field(default_factory=list)  # the names of what only a restart can change

    def print(self) -> None:
        """Print one JSON line on standard error, for the agent."""
        output = {
            "ok": not self.error,
            "fault": self.error,
            "taken": self.taken,
            "restart": self.restarts,
        }
        print(json.dumps({"reload": output}), file=sys.stderr, flush=True)


class Reloader:
    """Replaces the configuration of a running process."""

    def __init__(self, components: Components, discovery: Discovery, configure: Callable[[], Config]) -> None:
        self.components = components
        self.discovery = discovery
        self.configure = configure

    def reload(self, reads_left: int = MAX_READS) -> None:
        """Read and check the whole configuration before applying any of it, and print the result.

        Where no file descriptor is free to read it, one is freed, and the read is retried a little later.
        """
        result = ReloadResult()
        try:
            config = self._read(result)
        except (ConfigError, OSError) as error:
            if reads_left > 1 and isinstance(error, OSError) and error.errno in reads.NO_DESCRIPTOR:
                self._reload_later(reads_left - 1)
                return
            result.error = f"{type(error).__name__}: {error}"
            self._record_refusal(result)
        else:
            self._apply(config, result)
        result.print()

    def _reload_later(self, reads_left: int) -> None:
        self.components.free_descriptor()
        asyncio.get_running_loop().call_later(RETRY_DELAY_S, self.reload, reads_left)

    def _record_refusal(self, result: ReloadResult) -> None:
        components = self.components
        components.counters["reloads.failed"] += 1
        log.error("%s cannot reload; the old configuration stays: %s", components.name, result.error)

    def _apply(self, config: Config, result: ReloadResult) -> None:
        components = self.components
        components.counters["reloads.taken"] += 1
        result.taken = self._apply_differences(config)
        log.info("%s reloaded; taken: %s", components.name, ", ".join(result.taken) or "nothing")

    def _read(self, result: ReloadResult) -> Config:
        """Return the new configuration. Raises ConfigError or OSError where it cannot be applied."""
        config = self.configure()
        result.restarts = self.components.config.restart_only_changes(config)
        # Applied in part, it would mix two configurations, perhaps of two customers.
        if result.restarts:
            raise ConfigError(f"only a restart takes {', '.join(result.restarts)}")
        return config

    def _apply_differences(self, config: Config) -> list[str]:
        """Apply what differs, which can all change live, and return the names of it."""
        components = self.components
        taken = list[str]()
        old = components.config
        components.config = replace(old, dns=config.dns)
        if config.dns != old.dns:
            taken.append("dns")
            self.discovery.poll(config.dns)
        if self._has_newer_endpoints(config):
            components.endpoints.replace(config.fleet)
            components.publish_endpoints()
            taken.append("known")
        invoke = components.invoke
        if invoke is not None and config.operator is not None and invoke.api.reload(config.operator):
            taken.append("invoke")
        return taken

    def _has_newer_endpoints(self, config: Config) -> bool:
        """Return whether the file's endpoint list replaces the current one.

        Serials go on over a reload: a file older than the name server's last list must not bring back a dead
        worker. Where no name server is polled, the file is the only source.
        """
        endpoints = self.components.endpoints
        version = config.fleet.version
        if version != endpoints.version and not endpoints.is_newer_than(version):
            return True
        return config.dns is None and config.fleet.entries != endpoints.entries
