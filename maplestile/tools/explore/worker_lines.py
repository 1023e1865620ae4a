"""The worker's side of the line protocol: decodes the router's commands and encodes answers to them."""

import base64
import json
from dataclasses import dataclass
from enum import StrEnum


class CommandKind(StrEnum):
    """The kind of a command; the value is its name on the wire."""

    CALL = "CALL"
    LOAD = "LOAD"
    STATS = "STATS"
    UNLOAD = "UNLOAD"
    CANCEL = "CANCEL"


ANSWERED_KINDS = (CommandKind.CALL, CommandKind.LOAD, CommandKind.STATS)
LOAD_TAG_PREFIX = "load"


@dataclass(slots=True, frozen=True)
class Command:
    """A command from the router."""

    kind: CommandKind
    tag: str  # identifies the command in its answer; the function's name for UNLOAD
    body: bytes  # of a CALL; empty for other commands


def decode(line: bytes) -> Command:
    """Decode a line from the router. Raises `ValueError` if it is not a valid command."""
    message = json.loads(line)
    return Command(CommandKind(message["kind"]), message["call"], base64.b64decode(message.get("bytes", "")))


def encode_answer(tag: str, kind: str) -> bytes:
    """Encode an answer of this kind to the command with this tag, without a line terminator."""
    head = {"units": "1"} if tag.startswith(LOAD_TAG_PREFIX) else {}
    return json.dumps({"kind": kind, "call": tag, "head": head}).encode()
