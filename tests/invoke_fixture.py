"""A fixture that runs a real router process with a platform front and an invoke front."""

import http.client
import socket
import tempfile
import unittest
from pathlib import Path

from tests.standins import PATIENCE_S, ROOT, Program, Worker, eventually, in_base64

Answer = tuple[int, bytes, dict[str, str]]  # status, body, headers in lower case

# Functions of the operator's file, named by whether an attempt may be repeated.
REPEATABLE = "score-bangla"
REPEATABLE_WITH_KEY = "make-cards"
NEVER_REPEATED = "keep-result"

TENANT = "shapla-tutors"
DEFERRED = "respond-async"  # the `Prefer` header of a deferred call


def invocations_path(function: str) -> str:
    """Return the path that invokes a function."""
    return f"/v1/functions/{function}/invocations"


def post_head(*lines: str) -> bytes:
    """Return the head of a request that invokes `REPEATABLE`, with these header lines and the empty line."""
    required_lines = (f"POST {invocations_path(REPEATABLE)} HTTP/1.1", "Host: h")
    return "\r\n".join((*required_lines, *lines, "", "")).encode()


PARTIAL_HEAD = post_head("Content-Le").rstrip()  # ends within the name of its last header


class InvokeTestCase(unittest.TestCase):
    """A test case with a router that runs the operator's file of `deploy/` on free ports, and two workers."""

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
        file.write_text(self.edit_operator_file(text))
        self.program = Program("serve", str(file))
        self.addCleanup(self.program.kill)
        self.port = self.program.port("invoke")

    def edit_operator_file(self, text: str) -> str:
        """Return the text of the operator's file, with changes in test cases that override this method."""
        return text

    def request(self, method: str, path: str, body: bytes = b"", **headers: str) -> Answer:
        """Send a request on a new connection; underscores in the names of headers become hyphens."""
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
        """Invoke a function."""
        return self.request("POST", invocations_path(function), body, **headers)

    def final_answer(self, location: str) -> Answer:
        """Poll a deferred call until it has ended, and return the answer."""

        def answer_if_ended() -> Answer | None:
            answer = self.request("GET", location)
            return answer if answer[0] != 202 else None

        answer: Answer = eventually(answer_if_ended, location)
        return answer

    def connect_and_send(self, data: bytes) -> socket.socket:
        """Open a connection, send these bytes, and return its socket."""
        connection = socket.create_connection(("127.0.0.1", self.port), timeout=PATIENCE_S)
        self.addCleanup(connection.close)
        connection.sendall(data)
        return connection

    def run_count(self, body: bytes) -> int:
        """Return how many times a call with this body ran, over all workers."""
        text = in_base64(body)
        return sum(call["bytes"] == text for worker in self.workers for call in worker.ran)

    def pause_workers(self) -> None:
        """Make the workers read nothing, so that attempts are sent but not answered."""
        for worker in self.workers:
            worker.pause()

    def resume_workers(self) -> None:
        """Let the workers read again."""
        for worker in self.workers:
            worker.resume()

    def wait_until_sent(self, attempts: int) -> None:
        """Wait until the router has sent this number of attempts."""
        eventually(lambda: self.program.counters().get("attempts.sent") == attempts, "the attempt")
