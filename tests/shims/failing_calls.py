"""Makes system calls on sockets fail now and then, as Linux documents that they may.

`install` is called in the process of the program; a test turns it on with `environment`. A connection breaks
only if the process has made it itself: the end of a client's connection would be a loss for that client.
"""

import errno
import os
import random
import socket
import weakref
from typing import Any

VARIABLE = "SHIM_FAILING_CALLS"  # seed of the random source
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH)
BREAKS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
ACCEPT_SHARE = 0.05
SOCKET_SHARE = 0.02
CONNECT_SHARE = 0.02
BREAK_SHARE = 0.001
SHORT_SHARE = 0.1
DATAGRAM_SHARE = 0.02


def environment(seed: int) -> dict[str, str]:
    """Return the environment that turns the failures on."""
    return {VARIABLE: str(seed)}


def install_if_asked() -> None:
    """Install the failures in this process if its environment asks for them."""
    seed = os.environ.get(VARIABLE)
    if seed is not None:
        install(random.Random(seed))


def install(source: random.Random) -> None:
    """Replace the calls of all sockets of this process."""
    connected: weakref.WeakSet[socket.socket] = weakref.WeakSet()
    system: dict[str, Any] = {
        name: getattr(socket.socket, name) for name in ("__init__", "accept", "connect", "recv", "send")
    }

    def fail(share: float, errors: tuple[int, ...]) -> None:
        if source.random() < share:
            number = source.choice(errors)
            raise OSError(number, f"{os.strerror(number)} (shim)")

    def create(self: socket.socket, *arguments: Any, **options: Any) -> None:
        is_new = options.get("fileno", arguments[3] if len(arguments) > 3 else None) is None
        if is_new:
            fail(SOCKET_SHARE, SOCKET_ERRORS)
        system["__init__"](self, *arguments, **options)

    def accept(self: socket.socket) -> Any:
        fail(ACCEPT_SHARE, ACCEPT_ERRORS)
        return system["accept"](self)

    def connect(self: socket.socket, address: Any) -> None:
        fail(CONNECT_SHARE, CONNECT_ERRORS)
        connected.add(self)
        system["connect"](self, address)

    def receive(self: socket.socket, size: int, *flags: int) -> Any:
        if self.type == socket.SOCK_STREAM:
            if self in connected:
                fail(BREAK_SHARE, BREAKS)
            if source.random() < SHORT_SHARE:
                size = source.randint(1, min(size, 64))
        return system["recv"](self, size, *flags)

    def send(self: socket.socket, data: Any, *flags: int) -> Any:
        if self.type == socket.SOCK_DGRAM:
            fail(DATAGRAM_SHARE, (errno.ENOBUFS, errno.ENETUNREACH))
        else:
            if self in connected:
                fail(BREAK_SHARE, BREAKS)
            if len(data) > 1 and source.random() < SHORT_SHARE:
                data = bytes(data[: source.randint(1, len(data) - 1)])
        return system["send"](self, data, *flags)

    replacements = {"__init__": create, "accept": accept, "connect": connect, "recv": receive, "send": send}
    for name, replacement in replacements.items():
        setattr(socket.socket, name, replacement)
