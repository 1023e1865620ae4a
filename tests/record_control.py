"""Records what the control plane writes: `python -m tests.record_control` rewrites `tests/recorded/control`.

A test compares the files with what `recorded()` returns. The folder of a voter depends in part on the time:
it is recorded only with `--folder`, and the tests only check that a voter can still read it.
"""

import sys
import tempfile
from pathlib import Path

from maplestile.common import durable_file as durable
from maplestile.control.policy import store
from maplestile.control.policy.document import AdoptedPolicy, decode_document
from maplestile.control.state import ControlState
from maplestile.operation.state_folder import FileCordonStore
from tests.control_recordings import RECORDED, as_document, as_lines
from tests.control_script import DOCUMENT, SCRIPT
from tests.record_agent import agent_recordings
from tests.record_datagrams import datagrams
from tests.record_voter import record_folder, voter_files

REGISTRY_FILE = "roster.json"  # lists processes that do not exist; a test reads and rewrites a copy of it
LONG_NAME = "runner/with space:8080%é"


def log_commands() -> dict[str, bytes]:
    """Return the script's commands with their replies and state changes, the final and the empty state."""
    control = ControlState()
    exchanges = list[object]()
    changes = list[object]()
    for command in SCRIPT:
        before = control.encoded()
        exchanges.append({"command": command, "reply": control.apply_encoded(command)})
        changes.append({key: value for key, value in control.encoded().items() if value != before[key]})
    return {
        "log-commands.jsonl": as_lines(exchanges),
        "log-changes.jsonl": as_lines(changes),
        "state.json": as_document(control.encoded()),
        "state-empty.json": as_document(ControlState().encoded()),
    }


def disk_records() -> dict[str, bytes]:
    """Return a durable record, two records of a router's policy, and the names of cordoned runners."""
    with tempfile.TemporaryDirectory() as path:
        folder = Path(path)
        durable.write(folder / "durable.json", 3, {"b": [1, None, True], "a": {"é": 1.5}})
        files = {"durable.json": (folder / "durable.json").read_bytes()}
        for name, document in (("own", None), ("document", DOCUMENT)):
            store.write(folder / name, AdoptedPolicy(7, decode_document(document)))
            files[f"policy-{name}.json"] = (folder / name / store.FILE_NAME).read_bytes()
        markers = FileCordonStore(folder / "suspended")
        for runner in ("w0", LONG_NAME, "..", "r-w1", ""):
            markers.put(runner)
        markers.put("gone")
        markers.remove("gone")
        files["suspended.txt"] = as_lines(sorted(path.name for path in (folder / "suspended").iterdir()))
    return files


def recorded() -> dict[str, bytes]:
    """Return the recorded files' content by name, except the process registry and the voter's folder."""
    return {**log_commands(), **voter_files(), **disk_records(), **datagrams(), **agent_recordings()}


def main(arguments: list[str]) -> None:
    """Write the recorded files, and the voter's folder if `--folder` is given."""
    RECORDED.mkdir(parents=True, exist_ok=True)
    for name, content in recorded().items():
        (RECORDED / name).write_bytes(content)
    durable.write(RECORDED / REGISTRY_FILE, 1, {"r0": [4194300, 17], "w0": [4194301, 18]})
    if "--folder" in arguments:
        record_folder()


if __name__ == "__main__":
    main(sys.argv[1:])
