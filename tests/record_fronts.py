"""Records the program's external behavior: `python -m tests.record_fronts` writes it to `tests/recorded`.

Each recorder returns the text of one file: answers of the fronts, files read and written, or protocol lines.
`tests/test_recorded_fronts.py` compares these texts with the recorded files.
"""

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
