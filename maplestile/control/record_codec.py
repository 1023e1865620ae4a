"""The encoder of the records that the agreed state consists of."""

from dataclasses import fields
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from _typeshed import DataclassInstance


def encode_record(record: "DataclassInstance") -> dict[str, Any]:
    """The wire form of a record: its fields by name, in JSON's types; a later change of it has no effect."""
    return {one.name: _encoded_value(getattr(record, one.name)) for one in fields(record)}


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
