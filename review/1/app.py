"""Stands in for a client program with many connections, one request on each; started by the case.

Its arguments are the router's port, the number of connections, and whether it leaves. It writes `up` once all
its requests have been answered, and `left` when it leaves. No connection is idle for 4 s.

If it leaves, it has not read the answers by then. It closes all its connections as soon as the router has
closed one of them, and its system resets them, since there is unread input. Otherwise it reads the answers
and closes each connection when the router has.
"""

import json
import secrets
import select
import socket
import sys
import time

HOST = "127.0.0.1"
POLLRDHUP = 0x2000  # the other side has ended its side of the connection (Linux)
PACE_S = 0.0025
ANSWER_MS = 1500  # time for the answers
SILENCE_MS = 30_000  # it ends by itself if nothing happens for so long


def request() -> bytes:
    """Return one request, with its head."""
    params = {
        "txn": secrets.token_hex(8),
        "limit": 5000,
        "team": "nodi-schools",
        "item": "00000000000000a1",
        "cpu": 100.0,
        "info": "memory_mb:2400;lanes:4",
        "blob": "eA==",
    }
    body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "review", "params": params}).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def wait_for_answers(sockets: list[socket.socket]) -> None:
    """Wait until each connection has an answer to read, and read none."""
    until_s = time.monotonic() + ANSWER_MS / 1000
    for sock in sockets:
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        poll.poll(max(0, int(1000 * (until_s - time.monotonic()))))


def main() -> None:
    """Run until the router has closed a connection, or all of them."""
    port, count, leaves = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3] == "leaves"
    sockets = [socket.create_connection((HOST, port)) for _ in range(count)]
    for sock in reversed(sockets):
        sock.sendall(request())
        time.sleep(PACE_S)
    wait_for_answers(sockets)
    print("up", flush=True)
    poll = select.poll()
    for sock in sockets:
        poll.register(sock, POLLRDHUP if leaves else select.POLLIN)
    by_descriptor = {sock.fileno(): sock for sock in sockets}
    while by_descriptor:
        events = poll.poll(SILENCE_MS)
        if not events:
            return
        for descriptor, _ in events:
            if leaves:
                for sock in sockets:
                    sock.close()
                print("left", flush=True)
                return
            if not by_descriptor[descriptor].recv(65_536):
                poll.unregister(descriptor)
                by_descriptor.pop(descriptor).close()


if __name__ == "__main__":
    main()
