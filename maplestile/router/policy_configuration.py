"""Builds a router's configuration from its file's tables, with the fleet's policy in place of the file's own.

It is built from the tables as they were last taken, so that an epoch changes the policy alone, and brings in
nothing of a file that was not taken.
"""

from collections.abc import Callable

from maplestile.control.policy.document import AdoptedPolicy, Document, Tables
from maplestile.router.config import Config

RELOADABLE_TABLES = ("function", "tenant", "worker", "limits")  # tables of the file that a reload takes

# Builds a configuration from the tables, with the policy of an epoch if one is given. Raises ConfigError.
ConfigBuilder = Callable[[Tables, AdoptedPolicy | None], Config]


class PolicyConfiguration:
    """The tables of the router's file as they were last taken, and what is built from them."""

    def __init__(self, tables: Tables, build: ConfigBuilder) -> None:
        """Raises PolicyError where the file's own policy is invalid."""
        self.tables = tables
        self.build = build
        self.file_policy = Document.from_file(tables)  # in force until an epoch brings another

    def build_from_file(self) -> Config:
        """Return the configuration of the file alone. Raises ConfigError."""
        return self.build(self.tables, None)

    def build_with_policy(
        self, epoch: int, document: Document | None, tables: Tables | None = None
    ) -> Config:
        """Return the configuration with the policy of an epoch in the place of the file's own.

        Without a document it is the file's own policy. `tables` are those of a reload that is not taken yet,
        in place of those last taken. Raises ConfigError.
        """
        adopted = AdoptedPolicy(epoch, document or self.file_policy)
        return self.build(self.tables if tables is None else tables, adopted)

    def apply_reload(self, tables: Tables) -> None:
        """Take those tables of the file that a reload may change."""
        self.tables = self.tables | {name: tables[name] for name in RELOADABLE_TABLES if name in tables}
