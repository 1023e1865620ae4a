"""Records the explorer's saved examples, and the errors for invalid ones."""

import json
import tempfile
from pathlib import Path
from typing import Any

from maplestile.tools.explore.cases import CASES
from maplestile.tools.explore.example_files import read_example
from maplestile.tools.explore.search import explore, play
from tests.faulty import FAULTS
from tests.recording import Recorder, run
from tests.standins import ROOT

# Properties whose violations are described without identifiers from the code.
RECORDED_PROPERTIES = (
    "unsafe-once",
    "keyed-in-scope",
    "attempt-limit",
)
JsonTables = dict[str, Any]


def saved_examples() -> str:
    """Return the counterexamples of deliberate faults as they are saved, and the results of their replays."""
    saved: list[str] = []
    for _, case, components in (fault for fault in FAULTS if fault[0] in RECORDED_PROPERTIES):
        example = explore(CASES[case], depth=7, components=components).example
        assert example is not None
        violations = play(CASES[case], example.events, components).violations
        replayed = "".join(f"replayed: {name}: {detail}\n" for name, detail in violations)
        saved.append(example.text() + replayed)
    return "\n".join(saved)


def example_files() -> str:
    """Return a saved example written again after reading, and the errors for invalid examples."""
    original = ROOT / "examples" / "explore" / "keyed-window.json"
    results = [read_example(original).text()]
    tables: JsonTables = json.loads(original.read_text())
    changes: tuple[JsonTables, ...] = (
        {"version": 2},
        {"case": "nothing"},
        {"events": []},
        {"events": 1},
        {"events": [["nothing"]]},
        {"events": [["up"]]},
        {"events": [["up", -1]]},
        {"events": [["up", "0"]]},
        {"events": [["submit", 1]]},
        {"property": "other", "told": ""},
    )
    for changed in changes:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "example.json"
            file.write_text(json.dumps(tables | changed))
            results.append(f"{json.dumps(changed)}\n{run('explore', '--replay', str(file))}")
    return "\n".join(results)


RECORDERS: dict[str, Recorder] = {
    "explorer-saved-examples.txt": saved_examples,
    "explorer-example-files.txt": example_files,
}
