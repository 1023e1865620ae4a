"""Records fronts, files and lines: `python -m tests.record_fronts` writes them under `tests/recorded`.

Each recorder gives one file's text; `tests/test_recorded_fronts.py` compares it with the file."""

from tests import (
    record_agent_lines,
    record_explorer,
    record_faults,
    record_files,
    record_metrics,
    record_router_fronts,
    record_wire,
)
from tests.recording import Recorder, record

RECORDERS: dict[str, Recorder] = {
    **record_router_fronts.RECORDERS,
    **record_agent_lines.RECORDERS,
    **record_metrics.RECORDERS,
    **record_explorer.RECORDERS,
    **record_faults.RECORDERS,
    **record_files.RECORDERS,
    **record_wire.RECORDERS,
}

if __name__ == "__main__":
    record(RECORDERS)
