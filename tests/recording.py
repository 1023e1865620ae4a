"""Shared code of the recorders: runs the command line, masks variable values, reads and writes recordings."""

import contextlib
import dataclasses
import io
import json
import re
import socket
import sys
import tempfile
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

from maplestile.tools.cli import main
from tests.standins import PATIENCE_S, ROOT

RECORDED = ROOT / "tests" / "recorded"
Recorder = Callable[[], str]
COLUMNS = "100"  # the terminal width in characters, to which argparse wraps its help


class Mask(NamedTuple):
    """A pattern of text that varies from run to run, and the fixed text that replaces it in recordings."""

    pattern: re.Pattern[str]
    replacement: str


# Every value that varies from run to run is masked here and nowhere else.
MASKS: tuple[Mask, ...] = (
    # Before the mask for ROOT, because the virtual environment of the interpreter may be below the root.
    Mask(re.compile(re.escape(sys.executable) + r"(?![\w.])"), "PYTHON"),
    Mask(re.compile(re.escape(str(ROOT))), "ROOT"),
    Mask(re.compile(r"is not a valid \w+"), "is not a valid CLASS"),  # the internal name of an enum class
    Mask(re.compile(re.escape(tempfile.gettempdir()) + r"/tmp[a-z0-9_]+"), "TEMPORARY"),
    Mask(re.compile(r"127\.0\.0\.1:[1-9]\d{4}\b"), "127.0.0.1:PORT"),
    Mask(re.compile(r"\('127\.0\.0\.1', [1-9]\d{4}\)"), "('127.0.0.1', PORT)"),
)

# For the output of real processes; the answers of test doubles are fixed and need only `MASKS`.
PROCESS_MASKS = (
    *MASKS,
    Mask(re.compile(r'"incarnation": \d+'), '"incarnation": NUMBER'),
    Mask(re.compile(r'"fenced_us": \d+'), '"fenced_us": TIME'),
    Mask(re.compile(r'"pid": \d+'), '"pid": PID'),
    Mask(re.compile(r'"for_s": [\d.]+'), '"for_s": SECONDS'),
    # The length of a body varies with the number of digits of the incarnation and the port in it.
    Mask(re.compile(r'Content-Length: \d+(?=\n(?:.+\n)*\n\{"member":)'), "Content-Length: LENGTH"),
)


def masked(text: str, masks: Iterable[Mask] = MASKS) -> str:
    """Return the text with each mask applied in order."""
    for mask in masks:
        text = mask.pattern.sub(mask.replacement, text)
    return text


def run(*arguments: str, mask: bool = True) -> str:
    """Run the command line, and return a transcript: the arguments, the exit code and both output streams."""
    output, error_output = io.StringIO(), io.StringIO()
    width_patch = mock.patch.dict("os.environ", {"COLUMNS": COLUMNS})
    with width_patch, contextlib.redirect_stdout(output), contextlib.redirect_stderr(error_output):
        try:
            exit_code: object = main(list(arguments))
        except SystemExit as error:
            exit_code = error.code
    lines = ["$ maplestile " + " ".join(arguments), f"exit {exit_code}"]
    for name, stream in (("stdout", output), ("stderr", error_output)):
        if stream.getvalue():
            lines += [f"-- {name}", stream.getvalue().rstrip("\n")]
    text = "\n".join(lines) + "\n"
    return masked(text) if mask else text


def relative(path: Path) -> str:
    """Return a path relative to the root of the repository."""
    return str(path.relative_to(ROOT))


def plain(value: object) -> Any:
    """Convert a value to types that JSON can encode.

    Dataclasses become lists of their values in field order, so that recordings do not depend on the names of
    classes and attributes.
    """
    if isinstance(value, Enum):
        return plain(value.value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, Mapping):
        return {str(plain(key)): plain(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted((plain(item) for item in value), key=str)
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, bytes | memoryview):
        return bytes(value).decode("latin-1")
    if value is None or isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, Path):
        return str(value)
    raise TypeError(f"cannot convert {type(value)} to a type that JSON can encode")


def as_json(value: object) -> str:
    """Return the value as JSON text with `MASKS` applied."""
    return masked(json.dumps(plain(value), indent=1)) + "\n"


class FixedReplyAgent:
    """A fake agent that sends the same reply to every request, and records each request line."""

    def __init__(self, reply: object) -> None:
        self.reply = json.dumps(reply).encode() + b"\n"
        self.requests: list[str] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                peer = self.listener.accept()[0]
            except OSError:
                return
            peer.settimeout(PATIENCE_S)
            with peer, peer.makefile("rb") as lines:
                self.requests.append(lines.readline().decode().rstrip("\n"))
                peer.sendall(self.reply)

    def close(self) -> None:
        """Stop accepting connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


@contextlib.contextmanager
def serving_agent(reply: object) -> Iterator[FixedReplyAgent]:
    """Run a fake agent with this reply until the context ends."""
    agent = FixedReplyAgent(reply)
    try:
        yield agent
    finally:
        agent.close()


def record(recorders: Mapping[str, Recorder]) -> None:
    """Write the output of each recorder to its file under `tests/recorded`."""
    RECORDED.mkdir(exist_ok=True)
    for name, recorder in recorders.items():
        (RECORDED / name).write_text(recorder())


def recorded(name: str) -> str:
    """Return the text of a recorded file."""
    return (RECORDED / name).read_text()
