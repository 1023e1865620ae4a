"""The configuration of an instance by an operator's file, read again at each reload.

The platform's nodes do not load this module: they have no operator's file and no policy of their own.
"""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from maplestile.control.policy.document import AdoptedPolicy
from maplestile.control.policy.settings import policy_settings_of
from maplestile.invoke.operator_file import from_tables, read
from maplestile.router.config import Config, config_from

if TYPE_CHECKING:  # loaded only where the file has a policy: start time and memory
    from maplestile.router.policy_driver import PolicyDriver

SEED_BYTES = 8


class FileConfiguration:
    """Reads the file, and joins it with the agreed policy where the file takes part in one."""

    def __init__(self, file: Path) -> None:
        """Read the file for the first time. Raises ConfigError where it is invalid."""
        self.file = file
        self.policy: PolicyDriver | None = None
        self._seed = os.urandom(SEED_BYTES).hex()  # one for all reloads
        tables = read(file)
        if (settings := policy_settings_of(tables)) is not None:
            from maplestile.router import policy_driver

            self.policy = policy_driver.PolicyDriver(settings, tables, self._build)

    def read(self) -> Config:
        """Read the file again, and check it. Raises ConfigError."""
        tables = read(self.file)
        return self._build(tables) if self.policy is None else self.policy.configure(tables)

    def _build(self, tables: Mapping[str, Any], adopted: AdoptedPolicy | None = None) -> Config:
        """Check the tables of the file, with the adopted policy in place of the file's own part of it."""
        operator = from_tables(tables, adopted)
        return config_from({**operator.node, "seed": self._seed}, operator)
