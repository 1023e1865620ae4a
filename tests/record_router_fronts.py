"""Records the responses of the HTTP fronts of a real router process, for operators, agents and callers."""

import json
import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from tests.recording import PROCESS_MASKS, Recorder, masked
from tests.standins import PATIENCE_S, ROOT, Program, Worker, eventually

SCORE = "/v1/functions/score-bangla/invocations"
POLICY = "/v1/policy"
POLICY_CHECK = "/v1/policy/check"


class FrontRequest(NamedTuple):
    """An HTTP request to a front."""

    method: str
    path: str
    body: str = ""
    headers: tuple[str, ...] = ()


OPERATOR_REQUESTS = (
    FrontRequest("GET", "/v1/readyz"),
    FrontRequest("GET", "/v1/metrics"),
    FrontRequest("GET", "/v1/members"),
    FrontRequest("GET", "/v1/runners"),
    FrontRequest("GET", "/v1/policy"),
    FrontRequest("POST", "/v1/policy/check"),
    FrontRequest("POST", "/v1/readyz"),
    FrontRequest("PUT", "/v1/metrics"),
    FrontRequest("DELETE", "/v1/members"),
    FrontRequest("PUT", "/v1/runners"),
    FrontRequest("GET", "/v1/nothing"),
    FrontRequest("PUT", "/v1/runners/w9/suspend"),
    FrontRequest("PUT", "/v1/runners/%ff/suspend"),
    FrontRequest("GET", "/v1/runners/w1/suspend"),
    FrontRequest("PUT", "/v1/runners/w1/suspend"),
    FrontRequest("PUT", "/v1/runners/w1/suspend"),
    FrontRequest("GET", "/v1/runners"),
    FrontRequest("PUT", "/v1/runners/w1/resume"),
    FrontRequest("GET", "/v1/runners"),
    FrontRequest("GET", "/v1/readyz?more"),
)
INVOKE_REQUESTS = (
    FrontRequest("GET", SCORE),
    FrontRequest("POST", "/v1/functions/nothing/invocations"),
    FrontRequest("GET", "/v1/nothing"),
    FrontRequest("GET", "/v1/invocations/00ff"),
    FrontRequest("DELETE", "/v1/invocations/00ff"),
    FrontRequest("POST", SCORE, "abc", ("Maplestile-Class: nothing",)),
    FrontRequest("POST", SCORE, "abc", ("Maplestile-Deadline-Ms: x",)),
    FrontRequest("POST", SCORE, "abc", ("Maplestile-Deadline-Ms: 0",)),
    FrontRequest("POST", SCORE, "abc", ("Idempotency-Key: " + 200 * "k",)),
    FrontRequest("POST", SCORE, 20_000 * "x"),
)


def exchange(port: int, request: FrontRequest) -> str:
    """Send a request and return the whole response."""
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        "Host: x",
        "Connection: close",
        f"Content-Length: {len(request.body)}",
        *request.headers,
    ]
    data = "".join(f"{line}\r\n" for line in lines) + "\r\n" + request.body
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as connection:
        connection.sendall(data.encode())
        with connection.makefile("rb") as answer:
            return answer.read().decode().replace("\r\n", "\n")


def transcript(port: int, request: FrontRequest) -> str:
    """Return a request and its response in the recorded form."""
    sent = f"> {request.method} {request.path} {request.body}".rstrip()
    return masked(f"{sent}\n{exchange(port, request).rstrip()}\n", PROCESS_MASKS)


def router_file(folder: Path, workers: list[Worker], more: str = "") -> Path:
    """Write the file of a router without peers, with these runners, and with `more` appended."""
    text = (ROOT / "deploy" / "fleet" / "r1.toml").read_text()
    for old, new in (
        ("127.0.0.1:8110", "127.0.0.1:0"),
        ("127.0.0.1:8112", "127.0.0.1:0"),
        ("127.0.0.1:7941", "127.0.0.1:0"),
        ('seeds = ["127.0.0.1:7942", "127.0.0.1:7943"]', "seeds = []"),
        *((f"127.0.0.1:900{n}", f"127.0.0.1:{worker.port}") for n, worker in enumerate(workers, 1)),
    ):
        text = text.replace(old, new)
    file = folder / "router.toml"
    file.write_text(text + more)
    return file


def close_workers(workers: list[Worker]) -> None:
    """Close the listening sockets of the workers."""
    for worker in workers:
        worker.listener.shutdown(socket.SHUT_RDWR)
        worker.listener.close()


def record_at_router(more: str, record: Callable[[Program], str]) -> str:
    """Run `record` at a router with two runners, with `more` appended to its file; return the result."""
    with tempfile.TemporaryDirectory() as folder:
        workers = [Worker(), Worker()]
        file = router_file(Path(folder), workers, more.replace("FOLDER", folder))
        program = Program("serve", str(file), TMPDIR=folder)

        def knows_its_runners() -> bool:
            metrics = exchange(program.port("operator"), FrontRequest("GET", "/v1/metrics"))
            return "svc_hosts_down 0" in metrics and "svc_peers_duties 2" in metrics

        try:
            eventually(knows_its_runners, "the router to know its runners")
            return record(program)
        finally:
            program.kill()
            close_workers(workers)


def operators_front() -> str:
    """Record the operators' front of a router with two runners, before any call."""

    def record(program: Program) -> str:
        port = program.port("operator")
        return "\n".join(transcript(port, request) for request in OPERATOR_REQUESTS)

    return record_at_router("", record)


def _announcement(epoch: int, **more: object) -> str:
    """Return an agent's announcement of the committed epoch, as JSON."""
    return json.dumps({"epoch": epoch, "fenced_us": time.monotonic_ns() // 1000, "checking": 0, **more})


def _policy_requests() -> list[FrontRequest]:
    """Return valid and invalid requests of an agent, including an adopted and a refused policy."""
    classes = [{"name": "review", "aim_ms": 900, "deadline_ms": 4000, "semantics": "safe"}]
    good, bad = {"rules": {"attempts": 2}, "class": classes}, {"rules": {"attempts": 0}, "class": classes}
    return [
        FrontRequest("GET", "/v1/readyz", ""),
        FrontRequest("GET", POLICY, ""),
        FrontRequest("PUT", POLICY, _announcement(0, document=None)),
        FrontRequest("GET", POLICY, ""),
        FrontRequest("POST", POLICY_CHECK, json.dumps({"document": good})),
        FrontRequest("POST", POLICY_CHECK, json.dumps({"document": bad})),
        FrontRequest("POST", POLICY_CHECK, json.dumps({"document": good, "change": 1, "base": 0})),
        FrontRequest("POST", POLICY_CHECK, json.dumps({"document": bad, "change": 1, "base": 0})),
        FrontRequest("POST", POLICY_CHECK, "{"),
        FrontRequest("PUT", POLICY, "[]"),
        FrontRequest("PUT", POLICY, "{"),
        FrontRequest("DELETE", POLICY, ""),
        FrontRequest("PUT", POLICY, _announcement(1)),
        FrontRequest("PUT", POLICY, _announcement(1, document=good)),
        FrontRequest("GET", POLICY, ""),
        FrontRequest("PUT", POLICY, _announcement(2, document=bad)),
        FrontRequest("GET", "/v1/readyz", ""),
        FrontRequest("GET", "/v1/metrics", ""),
    ]


def policy_front_transcript() -> str:
    """Record the policy endpoints of a router before and after it adopts a policy, and checks of changes."""

    def record(program: Program) -> str:
        port = program.port("operator")
        return "\n".join(transcript(port, request) for request in _policy_requests())

    return record_at_router('\n[policy]\nfolder = "FOLDER/policy"\nstale_s = 600\n', record)


def invoke_front() -> str:
    """Record valid and invalid calls; retry a valid one that is refused because the machine is busy."""

    def record(program: Program) -> str:
        port = program.port("invoke")

        def served() -> str | None:
            answer = transcript(port, FrontRequest("POST", SCORE, "abc"))
            return answer if "HTTP/1.1 200 " in answer else None

        transcripts = [str(eventually(served, "a call to be served"))]
        for request in INVOKE_REQUESTS:
            size = f"{len(request.body)} bytes"
            sent = f"> {request.method} {request.path} {size} {' '.join(request.headers)}".rstrip()
            transcripts.append(masked(f"{sent}\n{exchange(port, request).rstrip()}\n"))
        return "\n".join(transcripts)

    return record_at_router("", record)


RECORDERS: dict[str, Recorder] = {
    "front-operators.txt": operators_front,
    "front-policy.txt": policy_front_transcript,
    "front-invoke.txt": invoke_front,
}
