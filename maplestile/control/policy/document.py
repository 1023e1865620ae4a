"""A policy as one document: the tables of an operator's file that steer decisions.

    [rules]                   # whole
    [[class]]                 # whole
    [limits]                  # `LIMITS` of it; what is cut from a machine or a listener stays the file's

A document takes the place of these tables of each router's file, whole: what it does not name has the
checker's default, and nothing of the file's own policy is left in force. It is checked as a file is at start,
by `invoke/operator.py`; here only its shape is looked at."""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from maplestile.common.toml_table import ConfigError

RULES, CLASS, LIMITS_TABLE = "rules", "class", "limits"
TABLES = (RULES, CLASS, LIMITS_TABLE)
LIMITS = ("open_requests", "records", "record_s", "body_bytes", "deadline_most_s")
DOCUMENT_BYTES = 16_384  # some hundred classes; the kept epochs of it go round with the agreed state
Tables = dict[str, Any]


class PolicyError(ConfigError):
    """A document that cannot be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class Document:
    text: str  # canonical JSON: the same policy is the same text

    @classmethod
    def of(cls, tables: object) -> "Document":
        """Raises PolicyError for what is no table of policy, and for a document that is too large."""
        if not isinstance(tables, Mapping):
            raise PolicyError("policy: must be a table")
        for name in tables:
            if name not in TABLES:
                raise PolicyError(f"{name}: is no part of policy; it stays in each router's file")
        limits = tables.get(LIMITS_TABLE, {})
        if not isinstance(limits, Mapping):
            raise PolicyError("limits: must be a table")
        for name in limits:
            if name not in LIMITS:
                raise PolicyError(f"limits.{name}: is no part of policy; it stays in each router's file")
        try:
            text = json.dumps(tables, sort_keys=True, separators=(",", ":"), allow_nan=False)
        except (TypeError, ValueError) as fault:  # a date of TOML, or no number
            raise PolicyError(f"policy: has a value of no use: {fault}") from None
        if len(text.encode()) > DOCUMENT_BYTES:
            raise PolicyError(f"policy: is over {DOCUMENT_BYTES} bytes")
        return cls(text)

    @classmethod
    def own(cls, root: Mapping[str, Any]) -> "Document":
        """The policy that an operator's file tells itself."""
        tables = {name: root[name] for name in (RULES, CLASS) if name in root}
        limits = root.get(LIMITS_TABLE)
        if isinstance(limits, Mapping):
            tables[LIMITS_TABLE] = {name: limits[name] for name in LIMITS if name in limits}
        return cls.of(tables)

    def tables(self) -> Tables:
        told: Tables = json.loads(self.text)
        return told

    def digest(self) -> str:
        return hashlib.blake2b(self.text.encode(), digest_size=8).hexdigest()

    def over(self, root: Mapping[str, Any]) -> Tables:
        """The tables of an operator's file, with these in the place of its own policy."""
        mine, left = self.tables(), {name: value for name, value in root.items() if name not in TABLES}
        kept = root.get(LIMITS_TABLE, {})
        if isinstance(kept, Mapping):  # else the checker tells
            kept = {name: value for name, value in kept.items() if name not in LIMITS}
            mine[LIMITS_TABLE] = {**kept, **mine.get(LIMITS_TABLE, {})}
        return {**left, **mine}


@dataclass(slots=True, frozen=True)
class AdoptedPolicy:
    """An epoch and its document; None stands for the file's own policy."""

    epoch: int
    document: Document | None


def digest_of(document: Document | None) -> str:
    """ "" stands for the files' own."""
    return "" if document is None else document.digest()


def document_of(tables: object) -> Document | None:
    """What the wire and the log carry: tables, or none for the files' own policy."""
    return None if tables is None else Document.of(tables)
