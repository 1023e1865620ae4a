"""One real process with the platform's front and the invoke API, from the operator's file."""

import http.client
import socket
import tempfile
import unittest
from pathlib import Path

from tests.standins import PATIENCE_S, ROOT, Program, Worker, eventually, in_base64

Answer = tuple[int, bytes, dict[str, str]]  # status, body, headers in lower case

# Functions of the operator's file, by whether their calls may be repeated.
REPEATABLE = "score-bangla"
WITH_KEY = "make-cards"
NEVER_REPEATED = "keep-result"

TENANT = "shapla-tutors"
DEFERRED = "respond-async"  # the `Prefer` of a deferred call


def invocations_path(function: str) -> str:
    """Return the path to which a call of a function is posted."""
    return f"/v1/functions/{function}/invocations"


def post_head(*lines: str) -> bytes:
    """Encode the head of a call of `REPEATABLE`, with further header lines, up to its empty line."""
    start = (f"POST {invocations_path(REPEATABLE)} HTTP/1.1", "Host: h")
    return "\r\n".join((*start, *lines, "", "")).encode()


PARTIAL_HEAD = post_head("Content-Le").rstrip()  # cut off within the name of its last header


class InvokeTestCase(unittest.TestCase):
    """Starts a process by the operator's file, with two workers and free ports."""

    def setUp(self) -> None:
        self.workers = [Worker(), Worker()]
        text = (ROOT / "deploy" / "operator.toml").read_text()
        for old, new in (
            *((f"127.0.0.1:808{n}", "127.0.0.1:0") for n in range(3)),
            ("127.0.0.1:9001", f"127.0.0.1:{self.workers[0].port}"),
            ("127.0.0.1:9002", f"127.0.0.1:{self.workers[1].port}"),
        ):
            text = text.replace(old, new)
        file = Path(tempfile.mkdtemp()) / "operator.toml"
        file.write_text(self.changed(text))
        self.program = Program("serve", str(file))
        self.addCleanup(self.program.kill)
        self.port = self.program.port("invoke")

    def changed(self, text: str) -> str:
        """Return the configuration file with the changes of a test case."""
        return text

    def request(self, method: str, path: str, body: bytes = b"", **headers: str) -> Answer:
        """Send a request on a connection of its own; underscores in the names of headers are hyphens."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=PATIENCE_S)
        sent = {"Maplestile-Tenant": TENANT}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        received = {name.lower(): value for name, value in response.getheaders()}
        answer = response.status, response.read(), received
        connection.close()
        return answer

    def post(self, function: str, body: bytes, **headers: str) -> Answer:
        """Call a function."""
        return self.request("POST", invocations_path(function), body, **headers)

    def final_answer(self, location: str) -> Answer:
        """Poll a deferred call until it has ended, and return its answer."""

        def answer_if_ended() -> Answer | None:
            answer = self.request("GET", location)
            return answer if answer[0] != 202 else None

        answer: Answer = eventually(answer_if_ended, location)
        return answer

    def connect_and_send(self, data: bytes) -> socket.socket:
        """Open a connection and write these bytes to it."""
        connection = socket.create_connection(("127.0.0.1", self.port), timeout=PATIENCE_S)
        self.addCleanup(connection.close)
        connection.sendall(data)
        return connection

    def run_count(self, body: bytes) -> int:
        """Return how often a call with this body ran, at all workers."""
        text = in_base64(body)
        return sum(call["bytes"] == text for worker in self.workers for call in worker.ran)

    def pause_workers(self) -> None:
        """Have the workers read nothing: an attempt is out, and not answered."""
        for worker in self.workers:
            worker.pause()

    def resume_workers(self) -> None:
        """Let the workers read on."""
        for worker in self.workers:
            worker.resume()

    def until_sent(self, attempts: int) -> None:
        """Wait until the program has sent so many attempts."""
        eventually(lambda: self.program.counters().get("attempts.sent") == attempts, "the attempt")
