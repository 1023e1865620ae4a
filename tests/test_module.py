"""Tests of the dispatch package: pure imports, short modules, and output that depends only on the input."""

import ast
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "maplestile" / "dispatch"
MODULES = sorted(PACKAGE.glob("*.py"))
PURE_MODULES = {
    "_blake2",  # the part of hashlib that is used
    "bisect",
    "collections",
    "collections.abc",
    "dataclasses",
    "enum",
    "hashlib",
    "heapq",
    "itertools",
}
PURE_MODULES |= {"math", "typing"}
SEEDED_MODULES = {"random"}  # allowed only in `dispatcher.py`, which seeds it
MAX_LINES = 400  # length limit of one module


def test_modules_stay_short() -> None:
    assert MODULES
    for file in MODULES:
        lines = file.read_text().splitlines()
        assert len(lines) <= MAX_LINES, file
        assert max(map(len, lines), default=0) <= 110, file


def imported_modules(file: Path) -> set[str]:
    """Return the modules that a file imports, and check that it calls no function that reads or writes."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            assert node.func.id not in {"hash", "open", "print", "input"}
    return found


def test_dispatch_imports_only_pure_modules() -> None:
    for file in MODULES:
        foreign = {name for name in imported_modules(file) if not name.startswith("maplestile.dispatch")}
        assert foreign <= PURE_MODULES | (SEEDED_MODULES if file.stem == "dispatcher" else set()), file


def run_adapter(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run the simulator adapter on the given input."""
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-m", "maplestile.wire.simulator_adapter"]
    return subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, env=env, check=False)


PARAMS = (
    '{"dcs":["z0"],"discovery":"push","familyInfo":{"answerWithinUs":9000000,"lingerIdleUs":9000000,'
    '"loadFree":4,"loadShare":0.2,"loadsWithinUs":9000000,"machineMb":[4000],"orders":true,'
    '"warmNotes":true,"whenAbsent":"load"},"grades":[{"aimUs":900000,"deadlineUs":3000000,"keyScope":"all",'
    '"name":"g","semantics":"free","windowUs":0}],"granularityUs":2000,"guarantees":{"answerSlackUs":9000,'
    '"coldUs":9000000,"drainGraceUs":250000,"fallMultiple":2,"overloadForUs":2000000,"startCapacity":0.2},'
    '"index":0,"instances":2,"kinds":["k"],"limits":{"attemptsCap":4,"cancelling":true,"mayDuplicate":true,'
    '"probes":false},"zone":"z0"}'
)


def adapter_input(names: list[str]) -> str:
    """Return input lines that give each of these dispatchers a worker list and 30 calls."""
    lines = []
    for name in names:
        frame = 1000 * int(name[-1])
        lines += [f"MARK nowUs={1000000 + frame * 2000} frame={frame}"]
        lines += [f"BEGIN who={name} salt=7 params={PARAMS}"]
        lines += [f"ROSTER_CHANGE who={name} how=cached index=1 membersList=3"]
        entry = "dc=z0 model=k bay=0 availability=Running heft=1"
        lines += [f"M runner=10.0.0.{i}:80 {entry}" for i in range(3)]
        lines += ["FLUSH"]
        for call in range(30):
            frame += 1
            lines += [f"MARK nowUs={1000000 + frame * 2000} frame={frame}"]
            size = f"timeBudgetUs=2000000 footprintMb=300 model=m-{call % 5} width=2 grade=g"
            lines += [f"ARRIVAL who={name} req={call} {size}"]
            lines += ["FLUSH"]
    return "\n".join(lines) + "\n"


def test_output_does_not_depend_on_hash_seed_or_number_of_processes() -> None:
    names = ["dispatcher/0", "dispatcher/1"]
    together = run_adapter(adapter_input(names), "1")
    assert together.returncode == 0 and together.stdout == run_adapter(adapter_input(names), "2").stdout
    assert "CALL_OUT" in together.stdout
    separate = "".join(run_adapter(adapter_input([name])).stdout for name in names)
    assert together.stdout == separate


def test_malformed_line_is_reported_as_an_error() -> None:
    result = run_adapter("MARK nowUs=1000000 frame=0\nARRIVAL who=dispatcher/0 req=x timeBudgetUs=5\nFLUSH\n")
    assert result.returncode == 1
    assert "line 2" in result.stderr and "'req'" in result.stderr and "Traceback" not in result.stderr


def test_end_of_input_exits_with_success() -> None:
    result = run_adapter("MARK nowUs=1 frame=4\nFLUSH\n")
    assert (result.returncode, result.stdout, result.stderr) == (0, "OK frame=4\n", "")
