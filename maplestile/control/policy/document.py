"""A policy as one document: the tables of an operator's file that steer decisions.

    [rules]                   # all of it
    [[class]]                 # all of it
    [limits]                  # `POLICY_LIMITS` of it; those of a machine or a listener stay the file's

A document replaces all of these tables of each router's file: what it does not name has the checker's
default, and nothing of the file's own policy is left in force. It is checked as a file is at start,
by `invoke/operator_file.py`; here only its shape is checked.
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
# The largest document: some hundred classes. Those of the kept epochs are sent with the agreed state.
DOCUMENT_BYTES = 16_384
DIGEST_BYTES = 8

Tables = dict[str, Any]


class PolicyError(ConfigError):
    """A document that cannot be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class Document:
    """A checked document, as canonical JSON: the same policy is the same text."""

    text: str

    @classmethod
    def from_tables(cls, tables: object) -> "Document":
        """The document of these tables.

        Raises PolicyError for what is no table of policy, and for a document that is too large.
        """
        if not isinstance(tables, Mapping):
            raise PolicyError("policy: must be a table")
        _check_names(tables)
        try:
            text = json.dumps(tables, sort_keys=True, separators=(",", ":"), allow_nan=False)
        except (TypeError, ValueError) as fault:  # a date of TOML, or no number
            raise PolicyError(f"policy: has a value of no use: {fault}") from None
        if len(text.encode()) > DOCUMENT_BYTES:
            raise PolicyError(f"policy: is over {DOCUMENT_BYTES} bytes")
        return cls(text)

    @classmethod
    def from_file(cls, root: Mapping[str, Any]) -> "Document":
        """The policy of an operator's file itself. Raises PolicyError."""
        tables = {name: root[name] for name in (RULES_TABLE, CLASS_TABLE) if name in root}
        limits = root.get(LIMITS_TABLE)
        if isinstance(limits, Mapping):
            tables[LIMITS_TABLE] = {name: limits[name] for name in POLICY_LIMITS if name in limits}
        return cls.from_tables(tables)

    def tables(self) -> Tables:
        """The tables of the document; each call makes new ones."""
        tables: Tables = json.loads(self.text)
        return tables

    def digest(self) -> str:
        """A hash of the policy, as hexadecimal digits."""
        return hashlib.blake2b(self.text.encode(), digest_size=DIGEST_BYTES).hexdigest()

    def applied_to(self, root: Mapping[str, Any]) -> Tables:
        """The tables of an operator's file, with this document in place of its own policy."""
        merged = {name: value for name, value in root.items() if name not in POLICY_TABLES}
        tables = self.tables()
        file_limits = root.get(LIMITS_TABLE, {})
        if isinstance(file_limits, Mapping):  # else the checker refuses it
            kept = {name: value for name, value in file_limits.items() if name not in POLICY_LIMITS}
            tables[LIMITS_TABLE] = {**kept, **tables.get(LIMITS_TABLE, {})}
        return {**merged, **tables}


def _check_names(tables: Mapping[str, Any]) -> None:
    _refuse_other_names(tables, POLICY_TABLES, "")
    limits = tables.get(LIMITS_TABLE, {})
    if not isinstance(limits, Mapping):
        raise PolicyError("limits: must be a table")
    _refuse_other_names(limits, POLICY_LIMITS, f"{LIMITS_TABLE}.")


def _refuse_other_names(names: Iterable[str], allowed: tuple[str, ...], place: str) -> None:
    for name in names:
        if name not in allowed:
            raise PolicyError(f"{place}{name}: is no part of policy; it stays in each router's file")


@dataclass(slots=True, frozen=True)
class AdoptedPolicy:
    """An epoch and its document; None is the file's own policy."""

    epoch: int
    document: Document | None


def digest_of(document: Document | None) -> str:
    """The digest of a document; empty for the files' own policy."""
    return "" if document is None else document.digest()


def document_of(tables: object) -> Document | None:
    """Decode the document of a message or a log entry: tables, or None for the files' own policy.

    Raises PolicyError.
    """
    return None if tables is None else Document.from_tables(tables)
