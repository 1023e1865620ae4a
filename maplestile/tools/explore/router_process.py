"""The router of a replay over real sockets: its settings file and its process, `maplestile serve`."""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Collection, Iterable
from pathlib import Path

from maplestile.agent.process_output import SignalAnswers
from maplestile.common.address import Address, parse_address
from maplestile.operation.client import CallError, call
from maplestile.tools.dispatcher_settings import US_PER_MS
from maplestile.tools.explore import scenario
from maplestile.tools.explore.cases import Case, CaseError
from maplestile.tools.explore.scripted_workers import ScriptedWorker

TIMEOUT_S = 10.0  # for the process to start or stop, and for an operator's request

FRONTS = ("operator", "invoke")
SETTINGS_HEAD = f"""[invoke]
listen = "127.0.0.1:0"
[operation]
listen = "127.0.0.1:0"
[rules]
attempts = {scenario.MAX_ATTEMPTS}
keep_s = 10
"""
FUNCTION_TABLE = """[[function]]
name = "f"
class = "{}"
memory_mb = 100
lanes = 1
[[kind]]
name = "k"
memory_mb = 4000
"""


def _class_table(name: str) -> str:
    call_class = scenario.CLASSES[name]
    lines = [
        "[[class]]",
        f'name = "{name}"',
        f"aim_ms = {call_class.latency_objective_us / US_PER_MS}",
        f"deadline_ms = {call_class.deadline_us / US_PER_MS}",
    ]
    if name in ("safe", "unsafe"):
        lines.append(f'semantics = "{name}"')
    else:
        lines.append('semantics = "keyed"')
        lines.append(f'scope = "{call_class.deduplication_scope.value}"')
        lines.append(f"window_ms = {call_class.deduplication_window_us / US_PER_MS}")
    return "\n".join(lines) + "\n"


def _worker_table(case: Case, worker: ScriptedWorker) -> str:
    number = int(worker.name[1:])
    lines = (
        "[[worker]]",
        f'id = "{worker.name}"',
        f'address = "127.0.0.1:{worker.port}"',
        'kind = "k"',
        f'zone = "{case.zones[number]}"',
        f"cell = {case.cells[number]}",
    )
    return "\n".join(lines) + "\n"


class RouterUnderTest:
    """The router process; `root` is the folder that contains the program's package."""

    def __init__(self, case: Case, folder: Path, root: Path) -> None:
        self.case = case
        self.root = root
        self.file = folder / "router.toml"
        self.process: Process | None = None
        self.log_reader: asyncio.Task[None] | None = None
        self.fronts: dict[str, Address] = {}  # addresses, by front
        self.answers = SignalAnswers()

    def write_settings(self, workers: Iterable[ScriptedWorker], unlisted: Collection[str]) -> None:
        """Write the settings file, without the unlisted workers."""
        classes = [_class_table(name) for name in dict.fromkeys(self.case.classes)]
        listed = [_worker_table(self.case, worker) for worker in workers if worker.name not in unlisted]
        function = FUNCTION_TABLE.format(self.case.classes[0])
        self.file.write_text("".join((SETTINGS_HEAD, *classes, function, *listed)))

    async def start(self) -> None:
        """Start the process and wait until both of its fronts listen."""
        command = (sys.executable, "-m", "maplestile", "serve", str(self.file))
        # Import the package from `root`, whatever the working directory is and whatever else is installed.
        environment = {**os.environ, "PYTHONPATH": str(self.root), "PYTHONSAFEPATH": "1"}
        self.process = await asyncio.create_subprocess_exec(
            *command, stdin=DEVNULL, stderr=PIPE, env=environment
        )
        stderr = self.process.stderr
        if stderr is None:
            raise CaseError("the router process has no standard error stream")
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.fronts) < len(FRONTS):
                line = await stderr.readline()
                if not line:
                    raise CaseError("the router process exited before its fronts listened")
                self._record_front(line.decode())
        self.log_reader = asyncio.get_running_loop().create_task(self._read_log(stderr))

    def _record_front(self, line: str) -> None:
        for front in FRONTS:
            _, separator, rest = line.partition(f"{front} front listens on ")
            if separator:
                self.fronts[front] = parse_address(rest.split(",")[0].strip())

    def reload(self) -> None:
        """Make the process reload its settings file."""
        if self.process is not None:
            os.kill(self.process.pid, signal.SIGHUP)

    async def counters(self) -> dict[str, int]:
        """Return the counters of the process. Raises `TimeoutError` if it does not report them in time."""
        answer = self.answers.expect("counters")
        if self.process is not None:
            self.process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(TIMEOUT_S):
            counters: dict[str, int] = await answer
        return counters

    async def send_operator_request(self, method: str, path: str) -> None:
        """Send a request to the operators' front. Raises `CaseError` if the request fails."""
        try:
            await call(self.fronts["operator"], method, path, TIMEOUT_S)
        except CallError as error:
            raise CaseError(f"request to the operators' front failed: {error}") from None

    def exit_code(self) -> int | None:
        """Return the exit code of the process; None if it is still running."""
        return None if self.process is None else self.process.returncode

    async def stop(self) -> None:
        """Terminate the process, and kill it if it does not exit in time."""
        process = self.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        if self.log_reader is not None:
            self.log_reader.cancel()

    async def _read_log(self, stderr: asyncio.StreamReader) -> None:
        """Read the log until it ends, keeping only the lines that answer signals."""
        while line := await stderr.readline():
            self.answers.accept(line)
