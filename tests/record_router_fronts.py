"""Records the HTTP fronts of a real router process: the operators', the policy's and the clients'."""

import json
import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from tests.recording import PROCESS_MASKS, Recorder, masked
from tests.standins import PATIENCE_S, ROOT, Program, Worker, eventually

SCORE = "/v1/functions/score-bangla/invocations"
POLICY = "/v1/policy"
POLICY_CHECK = "/v1/policy/check"
OPERATOR_REQUESTS = (
    ("GET", "/v1/readyz"),
    ("GET", "/v1/metrics"),
    ("GET", "/v1/members"),
    ("GET", "/v1/runners"),
    ("GET", "/v1/policy"),
    ("POST", "/v1/policy/check"),
    ("POST", "/v1/readyz"),
    ("PUT", "/v1/metrics"),
    ("DELETE", "/v1/members"),
    ("PUT", "/v1/runners"),
    ("GET", "/v1/nothing"),
    ("PUT", "/v1/runners/w9/suspend"),
    ("PUT", "/v1/runners/%ff/suspend"),
    ("GET", "/v1/runners/w1/suspend"),
    ("PUT", "/v1/runners/w1/suspend"),
    ("PUT", "/v1/runners/w1/suspend"),
    ("GET", "/v1/runners"),
    ("PUT", "/v1/runners/w1/resume"),
    ("GET", "/v1/runners"),
    ("GET", "/v1/readyz?more"),
)
INVOKE_REQUESTS = (
    ("GET", SCORE, ""),
    ("POST", "/v1/functions/nothing/invocations", ""),
    ("GET", "/v1/nothing", ""),
    ("GET", "/v1/invocations/00ff", ""),
    ("DELETE", "/v1/invocations/00ff", ""),
    ("POST", SCORE, "abc", "Maplestile-Class: nothing"),
    ("POST", SCORE, "abc", "Maplestile-Deadline-Ms: x"),
    ("POST", SCORE, "abc", "Maplestile-Deadline-Ms: 0"),
    ("POST", SCORE, "abc", "Idempotency-Key: " + 200 * "k"),
    ("POST", SCORE, 20_000 * "x"),
)


def exchange(port: int, method: str, path: str, body: str = "", *headers: str) -> str:
    """One request, and all that the front sends back."""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(body)}\r\n"
    request = head + "".join(f"{header}\r\n" for header in headers) + "\r\n" + body
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as link:
        link.sendall(request.encode())
        with link.makefile("rb") as answer:
            return answer.read().decode().replace("\r\n", "\n")


def transcript(port: int, method: str, path: str, body: str = "", *headers: str) -> str:
    """A request and what the front sends back, as they are recorded."""
    request = f"> {method} {path} {body}".rstrip()
    return masked(f"{request}\n{exchange(port, method, path, body, *headers).rstrip()}\n", PROCESS_MASKS)


def router_file(folder: Path, workers: list[Worker], more: str = "") -> Path:
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
    for worker in workers:
        worker.listener.shutdown(socket.SHUT_RDWR)
        worker.listener.close()


def with_router(more: str, record: Callable[[Program], str]) -> str:
    """What is recorded at a router with two runners, whose file has `more` at its end."""
    with tempfile.TemporaryDirectory() as folder:
        workers = [Worker(), Worker()]
        file = router_file(Path(folder), workers, more.replace("FOLDER", folder))
        program = Program("serve", str(file), TMPDIR=folder)

        def settled() -> bool:
            metrics = exchange(program.port("operator"), "GET", "/v1/metrics")
            return "svc_hosts_down 0" in metrics and "svc_peers_duties 2" in metrics

        try:
            eventually(settled, "the router to know its runners")
            return record(program)
        finally:
            program.kill()
            close_workers(workers)


def operators_front() -> str:
    """A router with two runners that nobody has called yet."""

    def record(program: Program) -> str:
        port = program.port("operator")
        return "\n".join(transcript(port, method, path) for method, path in OPERATOR_REQUESTS)

    return with_router("", record)


def _status(epoch: int, **more: object) -> str:
    """What an agent sends of its fleet's policy."""
    return json.dumps({"epoch": epoch, "fenced_us": time.monotonic_ns() // 1000, "checking": 0, **more})


def _policy_requests() -> list[tuple[str, str, str]]:
    classes = [{"name": "review", "aim_ms": 900, "deadline_ms": 4000, "semantics": "safe"}]
    good, bad = {"rules": {"attempts": 2}, "class": classes}, {"rules": {"attempts": 0}, "class": classes}
    return [
        ("GET", "/v1/readyz", ""),
        ("GET", POLICY, ""),
        ("PUT", POLICY, _status(0, document=None)),
        ("GET", POLICY, ""),
        ("POST", POLICY_CHECK, json.dumps({"document": good})),
        ("POST", POLICY_CHECK, json.dumps({"document": bad})),
        ("POST", POLICY_CHECK, json.dumps({"document": good, "change": 1, "base": 0})),
        ("POST", POLICY_CHECK, json.dumps({"document": bad, "change": 1, "base": 0})),
        ("POST", POLICY_CHECK, "{"),
        ("PUT", POLICY, "[]"),
        ("PUT", POLICY, "{"),
        ("DELETE", POLICY, ""),
        ("PUT", POLICY, _status(1)),
        ("PUT", POLICY, _status(1, document=good)),
        ("GET", POLICY, ""),
        ("PUT", POLICY, _status(2, document=bad)),
        ("GET", "/v1/readyz", ""),
        ("GET", "/v1/metrics", ""),
    ]


def policy_front() -> str:
    """A router whose policy is the fleet's: before its agent sent it, after, and with changes to check."""

    def record(program: Program) -> str:
        port = program.port("operator")
        return "\n".join(transcript(port, *request) for request in _policy_requests())

    return with_router('\n[policy]\nfolder = "FOLDER/policy"\nstale_s = 600\n', record)


def invoke_front() -> str:
    """Right and wrong calls; one refused for lag on a busy machine comes again."""

    def record(program: Program) -> str:
        port = program.port("invoke")

        def served() -> str | None:
            answer = transcript(port, "POST", SCORE, "abc")
            return answer if "HTTP/1.1 200 " in answer else None

        transcripts = [str(eventually(served, "a call to be served"))]
        for method, where, body, *headers in INVOKE_REQUESTS:
            request = f"> {method} {where} {len(body)} bytes {' '.join(headers)}".rstrip()
            answer = exchange(port, method, where, body, *headers).rstrip()
            transcripts.append(masked(f"{request}\n{answer}\n"))
        return "\n".join(transcripts)

    return with_router("", record)


RECORDERS: dict[str, Recorder] = {
    "front-operators.txt": operators_front,
    "front-policy.txt": policy_front,
    "front-invoke.txt": invoke_front,
}
