"""Builds a router's configuration from its file, with the fleet's policy in place of the file's own.

The configuration is built from the tables that were last applied. So a new epoch changes only the policy, and
brings in no other changes of a file that was edited and not reloaded, or whose reload was refused.
"""

from collections.abc import Callable

from maplestile.control.policy.document import AdoptedPolicy, Document, Tables
from maplestile.router.config import Config

RELOADABLE_TABLES = ("function", "tenant", "worker", "limits")  # tables of the file that a reload may change

# Builds a configuration from tables, in which an adopted policy, if given, replaces the file's own.
# Raises ConfigError.
ConfigBuilder = Callable[[Tables, AdoptedPolicy | None], Config]


class PolicyConfiguration:
    """The last applied tables of the router's file, and the configurations that are built from them."""

    def __init__(self, tables: Tables, build: ConfigBuilder) -> None:
        """Keep the tables of the file. Raises PolicyError if the file's own policy is invalid."""
        self.tables = tables
        self.build = build
        self.file_policy = Document.from_file(tables)  # applies until an epoch with a document is adopted

    def build_from_file(self) -> Config:
        """Return the configuration of the file with its own policy. Raises ConfigError."""
        return self.build(self.tables, None)

    def build_with_policy(
        self, epoch: int, document: Document | None, tables: Tables | None = None
    ) -> Config:
        """Return the configuration with the policy of an epoch in place of the file's own.

        If `document` is None, the epoch has the file's own policy. `tables`, if given, are those of a reload
        that is not applied yet, and replace the last applied ones. Raises ConfigError.
        """
        adopted = AdoptedPolicy(epoch, document or self.file_policy)
        return self.build(self.tables if tables is None else tables, adopted)

    def apply_reload(self, tables: Tables) -> None:
        """Keep those tables of a reloaded file that a reload may change."""
        self.tables = self.tables | {name: tables[name] for name in RELOADABLE_TABLES if name in tables}
