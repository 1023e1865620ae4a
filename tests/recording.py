"""What recorders share: running the command line, masking what varies, and the recorded files."""

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
COLUMNS = "100"  # argparse folds its help to the width of the terminal


class Mask(NamedTuple):
    """What may vary from run to run, and what is recorded in its place."""

    pattern: re.Pattern[str]
    replacement: str


# Everything that may vary from run to run is masked here and nowhere else.
MASKS: tuple[Mask, ...] = (
    # Before the root: the interpreter of an environment may stand below it.
    Mask(re.compile(re.escape(sys.executable) + r"(?![\w.])"), "PYTHON"),
    Mask(re.compile(re.escape(str(ROOT))), "ROOT"),
    Mask(re.compile(r"is not a valid \w+"), "is not a valid CLASS"),  # of an enumeration: a name of the code
    Mask(re.compile(re.escape(tempfile.gettempdir()) + r"/tmp[a-z0-9_]+"), "TEMPORARY"),
    Mask(re.compile(r"127\.0\.0\.1:[1-9]\d{4}\b"), "127.0.0.1:PORT"),
    Mask(re.compile(r"\('127\.0\.0\.1', [1-9]\d{4}\)"), "('127.0.0.1', PORT)"),
)

# For the output of a real process; the answers of doubles are fixed and need none of these.
PROCESS_MASKS = (
    *MASKS,
    Mask(re.compile(r'"incarnation": \d+'), '"incarnation": NUMBER'),
    Mask(re.compile(r'"fenced_us": \d+'), '"fenced_us": TIME'),
    Mask(re.compile(r'"pid": \d+'), '"pid": PID'),
    Mask(re.compile(r'"for_s": [\d.]+'), '"for_s": SECONDS'),
    # The length of a body with an incarnation and a port in it.
    Mask(re.compile(r'Content-Length: \d+(?=\n(?:.+\n)*\n\{"member":)'), "Content-Length: LENGTH"),
)


def masked(text: str, masks: Iterable[Mask] = MASKS) -> str:
    """The text with each mask applied, in their order."""
    for mask in masks:
        text = mask.pattern.sub(mask.replacement, text)
    return text


def run(*arguments: str, mask: bool = True) -> str:
    """One use of the command line: the arguments, the exit code, and both streams."""
    out, err = io.StringIO(), io.StringIO()
    width = mock.patch.dict("os.environ", {"COLUMNS": COLUMNS})
    with width, contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code: object = main(list(arguments))
        except SystemExit as end:
            code = end.code
    lines = ["$ maplestile " + " ".join(arguments), f"exit {code}"]
    for name, stream in (("stdout", out), ("stderr", err)):
        if stream.getvalue():
            lines += [f"-- {name}", stream.getvalue().rstrip("\n")]
    text = "\n".join(lines) + "\n"
    return masked(text) if mask else text


def relative(path: Path) -> str:
    """A path from the root of the repository."""
    return str(path.relative_to(ROOT))


def plain(value: object) -> Any:
    """Any value in JSON's types.

    Dataclasses become lists of their values in the order of their fields, so that recordings have no names of
    classes or attributes in them.
    """
    if isinstance(value, Enum):
        return plain(value.value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, Mapping):
        return {str(plain(key)): plain(each) for key, each in value.items()}
    if isinstance(value, set | frozenset):
        return sorted((plain(each) for each in value), key=str)
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    if isinstance(value, bytes | memoryview):
        return bytes(value).decode("latin-1")
    if value is None or isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, Path):
        return str(value)
    raise TypeError(f"no plain form of {type(value)}")


def as_json(value: object) -> str:
    """The value as masked JSON, in plain types."""
    return masked(json.dumps(plain(value), indent=1)) + "\n"


class FixedReplyAgent:
    """An agent that answers each request with the same reply, and records the lines of the requests."""

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
    """An agent with this reply, closed at the end."""
    agent = FixedReplyAgent(reply)
    try:
        yield agent
    finally:
        agent.close()


def record(recorders: Mapping[str, Recorder]) -> None:
    """Write the files that the tests compare with."""
    RECORDED.mkdir(exist_ok=True)
    for name, recorder in recorders.items():
        (RECORDED / name).write_text(recorder())


def recorded(name: str) -> str:
    """The text of a recorded file."""
    return (RECORDED / name).read_text()
