"""The workers' end of the line protocol: decodes the router's commands, and encodes answers to them."""

import base64
import json
from dataclasses import dataclass
from enum import StrEnum


class CommandKind(StrEnum):
    """The kinds of commands; the values stand on the wire."""

    CALL = "CALL"
    LOAD = "LOAD"
    STATS = "STATS"
    UNLOAD = "UNLOAD"
    CANCEL = "CANCEL"


ANSWERED_KINDS = (CommandKind.CALL, CommandKind.LOAD, CommandKind.STATS)
LOAD_TAG_PREFIX = "load"


@dataclass(slots=True, frozen=True)
class Command:
    """A command of the router."""

    kind: CommandKind
    tag: str  # names the command in its answer; of UNLOAD, the function
    body: bytes  # of a CALL


def decode(line: bytes) -> Command:
    """Decode a line of the router. Raises ValueError."""
    message = json.loads(line)
    return Command(CommandKind(message["kind"]), message["call"], base64.b64decode(message.get("bytes", "")))


def encode_answer(tag: str, kind: str) -> bytes:
    """Encode an answer of a kind to the command with this tag, without the line's end."""
    head = {"units": "1"} if tag.startswith(LOAD_TAG_PREFIX) else {}
    return json.dumps({"kind": kind, "call": tag, "head": head}).encode()
