"""Reads the configuration of an instance from an operator's file, at startup and on each reload.

Platform nodes do not import this module: they have no operator's file and no policy of their own.
"""

import hashlib
import os
import tempfile
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from maplestile.control.policy.document import AdoptedPolicy
from maplestile.control.policy.settings import parse_policy_settings
from maplestile.invoke.operator_file import RECORDS_FOLDER, read_tables, settings_from_tables
from maplestile.router.config import Config, config_from

if TYPE_CHECKING:  # imported at run time only if the file has a policy, to save start time and memory
    from maplestile.router.policy_driver import PolicyDriver

FOLDER_NAME_BYTES = 8  # of the hash of a file's path
SEED_BYTES = 8  # of the random seed


def default_folder(file: Path) -> Path:
    """Return the folder of what outlives the process if the file names none: one for each file and user.

    It outlives the machine's restart only if the folder for temporary files does.
    """
    name = hashlib.blake2b(bytes(file.resolve()), digest_size=FOLDER_NAME_BYTES).hexdigest()
    return Path(tempfile.gettempdir()) / f"maplestile-{os.geteuid()}" / name


class FileConfiguration:
    """The operator's file, combined with the agreed policy if the file has a `[policy]` table."""

    def __init__(self, file: Path) -> None:
        """Read the file for the first time. Raises ConfigError if it is invalid."""
        self.file = file
        self.policy: PolicyDriver | None = None
        self._seed = os.urandom(SEED_BYTES).hex()  # stays the same over reloads
        tables = read_tables(file)
        if (settings := parse_policy_settings(tables)) is not None:
            from maplestile.router import policy_driver

            self.policy = policy_driver.PolicyDriver(settings, tables, self._build)

    def read(self) -> Config:
        """Read and check the file again, and return its configuration. Raises ConfigError."""
        tables = read_tables(self.file)
        return self._build(tables) if self.policy is None else self.policy.build_config(tables)

    def _build(self, tables: Mapping[str, Any], adopted: AdoptedPolicy | None = None) -> Config:
        """Check the tables of the file; an adopted policy, if there is one, replaces the file's own."""
        operator = settings_from_tables(tables, adopted)
        if operator.records_folder is None:
            operator = replace(operator, records_folder=default_folder(self.file) / RECORDS_FOLDER)
        node = {**operator.node, "seed": self._seed}
        if node.get("operator") and not node.get("folder"):
            node["folder"] = str(default_folder(self.file))
        return config_from(node, operator)
