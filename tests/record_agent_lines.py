"""Records the answers of the command server of a real agent process."""

import socket
import tempfile
from pathlib import Path

from tests.record_router_fronts import close_workers, router_file
from tests.recording import PROCESS_MASKS, Recorder, masked
from tests.standins import PATIENCE_S, Program, Worker

AGENT_FILE = """[agent]
listen = "127.0.0.1:0"
backoff_s = 600
backoff_most_s = 600
[[instance]]
name = "stays"
command = ["sleep", "600"]
[[instance]]
name = "lost"
command = ["false"]
[[instance]]
name = "router"
file = "router.toml"
"""
AGENT_LINES = (
    '{"do": "status"}',
    '{"do": "status", "instances": ["stays"]}',
    '{"do": "status", "instances": ["nobody"]}',
    '{"do": "nothing"}',
    "{}",
    "[]",
    "x",
    '{"do": "ready", "instances": ["stays", "lost"]}',
    '{"do": "figures", "instances": ["stays"]}',
    '{"do": "members", "instances": ["lost"]}',
    '{"do": "suspend", "instances": ["stays"]}',
    '{"do": "suspend", "instances": ["stays"], "runner": "w1"}',
    '{"do": "reload", "instances": ["stays", "router"]}',
    '{"do": "counters", "instances": ["lost"]}',
    '{"do": "rollout", "what": "status"}',
    '{"do": "policy", "what": "status"}',
    '{"do": "control"}',
    '{"do": "stop", "instances": ["lost"]}',
    '{"do": "stop", "instances": ["stays"]}',
)


def exchange(port: int, line: str) -> str:
    """Send a line to an agent; return the line and the answer as they are recorded."""
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as connection:
        connection.sendall(line.encode() + b"\n")
        with connection.makefile("rb") as answer:
            return f"> {line}\n{answer.read().decode()}"


def command_server_transcript() -> str:
    """Return the answers of an agent with a router, a process that keeps running, and one that fails."""
    with tempfile.TemporaryDirectory() as folder:
        workers = [Worker(), Worker()]
        router_file(Path(folder), workers)
        (Path(folder) / "agent.toml").write_text(AGENT_FILE)
        program = Program("agent", str(Path(folder) / "agent.toml"), TMPDIR=folder)
        try:
            port = int(program.find(r"agent listens on 127\.0\.0\.1:(\d+)"))
            program.find(r"\[router\] (.*operator front listens)")
            program.find(r"lost: (.*)")
            transcript = "\n".join(exchange(port, line) for line in AGENT_LINES)
            program.stop()
        finally:
            program.kill()
            close_workers(workers)
    return masked(transcript, PROCESS_MASKS)


RECORDERS: dict[str, Recorder] = {
    "agent-lines.txt": command_server_transcript,
}
