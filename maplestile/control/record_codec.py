"""Encodes the dataclass records of the replicated state."""

from dataclasses import fields
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from _typeshed import DataclassInstance


def encode_record(record: "DataclassInstance") -> dict[str, Any]:
    """Return a record's fields by name as JSON types; the lists and dicts are copies."""
    return {item.name: _encoded_value(getattr(record, item.name)) for item in fields(record)}


def _encoded_value(value: object) -> object:
    match value:
        case Enum():
            return value.value
        case tuple() | list():
            return list(value)
        case dict():
            return dict(value)
        case _:
            return value
