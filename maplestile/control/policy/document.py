"""Policy documents: the tables of an operator's file that control routing decisions.

    [rules]                   # the whole table
    [[class]]                 # the whole array
    [limits]                  # only `POLICY_LIMITS`; limits of a machine or a listener stay in each file

A document replaces these settings in each router's file completely: what it omits gets its default, and none
of the file's own policy stays in force. `invoke/operator_file.py` validates the values as it does those of a
file at start; this module only checks the table names, the limits and the size.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from maplestile.common.toml_table import ConfigError

RULES_TABLE = "rules"
CLASS_TABLE = "class"
LIMITS_TABLE = "limits"
POLICY_TABLES = (RULES_TABLE, CLASS_TABLE, LIMITS_TABLE)
POLICY_LIMITS = ("open_requests", "records", "record_s", "body_bytes", "deadline_most_s")
# Enough for about a hundred classes. The documents of all kept epochs are sent with the replicated state.
DOCUMENT_BYTES = 16_384
DIGEST_BYTES = 8

Tables = dict[str, Any]


class PolicyError(ConfigError):
    """A policy document or setting is invalid; the text names the field."""


@dataclass(slots=True, frozen=True)
class Document:
    """A policy document as canonical JSON, so that equal policies have equal texts."""

    text: str

    @classmethod
    def from_tables(cls, tables: object) -> "Document":
        """Return the document of these tables.

        Raises PolicyError for a table or limit that is not part of a policy, and for a document that is too
        large.
        """
        if not isinstance(tables, Mapping):
            raise PolicyError("policy: must be a table")
        _check_table_names(tables)
        try:
            text = json.dumps(tables, sort_keys=True, separators=(",", ":"), allow_nan=False)
        except (TypeError, ValueError) as error:  # a TOML date, NaN or infinity
            raise PolicyError(f"policy: has a value of no use: {error}") from None
        if len(text.encode()) > DOCUMENT_BYTES:
            raise PolicyError(f"policy: is over {DOCUMENT_BYTES} bytes")
        return cls(text)

    @classmethod
    def from_file(cls, root: Mapping[str, Any]) -> "Document":
        """Return the policy of an operator's file, given its root table. Raises PolicyError."""
        tables = {name: root[name] for name in (RULES_TABLE, CLASS_TABLE) if name in root}
        limits = root.get(LIMITS_TABLE)
        if isinstance(limits, Mapping):
            tables[LIMITS_TABLE] = {name: limits[name] for name in POLICY_LIMITS if name in limits}
        return cls.from_tables(tables)

    def tables(self) -> Tables:
        """Return the tables of the document, as a new copy on each call."""
        tables: Tables = json.loads(self.text)
        return tables

    def digest(self) -> str:
        """Return a hash of the policy as hexadecimal digits."""
        return hashlib.blake2b(self.text.encode(), digest_size=DIGEST_BYTES).hexdigest()

    def applied_to(self, root: Mapping[str, Any]) -> Tables:
        """Return the tables of an operator's file with its own policy replaced by this document."""
        merged = {name: value for name, value in root.items() if name not in POLICY_TABLES}
        tables = self.tables()
        file_limits = root.get(LIMITS_TABLE, {})
        if isinstance(file_limits, Mapping):  # otherwise `invoke/operator_file.py` rejects the file
            kept = {name: value for name, value in file_limits.items() if name not in POLICY_LIMITS}
            tables[LIMITS_TABLE] = {**kept, **tables.get(LIMITS_TABLE, {})}
        return {**merged, **tables}


def _check_table_names(tables: Mapping[str, Any]) -> None:
    _reject_unknown_names(tables, POLICY_TABLES, "")
    limits = tables.get(LIMITS_TABLE, {})
    if not isinstance(limits, Mapping):
        raise PolicyError("limits: must be a table")
    _reject_unknown_names(limits, POLICY_LIMITS, f"{LIMITS_TABLE}.")


def _reject_unknown_names(names: Iterable[str], allowed: tuple[str, ...], place: str) -> None:
    for name in names:
        if name not in allowed:
            raise PolicyError(f"{place}{name}: is no part of policy; it stays in each router's file")


@dataclass(slots=True, frozen=True)
class AdoptedPolicy:
    """An epoch that a router has put in force."""

    epoch: int
    document: Document | None  # None: the policy of the router's own file


def policy_digest(document: Document | None) -> str:
    """Return the digest of a document; "" for the policy of each router's own file."""
    return "" if document is None else document.digest()


def decode_document(tables: object) -> Document | None:
    """Decode the document of a message or a log entry; None stands for the policy of each router's own file.

    Raises PolicyError.
    """
    return None if tables is None else Document.from_tables(tables)
