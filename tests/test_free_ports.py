"""Tests of the ranges of ports from which tests choose."""

import subprocess
import sys

from tests.standins import ROOT

PRINT_RANGE = "from tests.free_ports import ports_of_this_process as p; print(p().start, flush=True); input()"
PROCESSES = 4


def test_processes_of_runs_at_the_same_time_choose_from_different_ranges() -> None:
    """Guards against two runs on one machine whose programs meet on a port."""
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_RANGE],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        for _ in range(PROCESSES)
    ]
    firsts = list[str]()
    for process in processes:
        assert process.stdout is not None
        firsts.append(process.stdout.readline())
    for process in processes:
        process.communicate("\n")
    assert len(set(firsts)) == PROCESSES, firsts
