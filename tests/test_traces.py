"""Tests of the trace reader: traces with the calls of each minute, and traces of single calls."""

import io
from pathlib import Path
from typing import Any

from maplestile.invoke.operator_file import parse_settings
from maplestile.tools import trace_output, traces
from maplestile.tools.cli import main
from tests.standins import ROOT

OPERATOR_FILE = (ROOT / "deploy" / "operator.toml").read_text()
MINUTES_HEADER = "HashOwner,HashApp,HashFunction,Trigger," + ",".join(map(str, range(1, 1441)))


def test_joins_files_of_one_trace_and_reports_invalid_rows() -> None:
    counts = ["0"] * 1440
    counts[0], counts[10] = "60", "1380"
    trace = traces.Trace()
    rows = [
        MINUTES_HEADER,
        "o,a,f,http," + ",".join(counts),
        "o,a,g,http,1",
        "o,a,h,http," + ",".join(["x"] * 1440),
    ]
    trace.read(io.StringIO("\n".join(rows)), "day.csv")
    durations = "HashOwner,HashApp,HashFunction,Average,Count,Minimum,Maximum\no,a,f,250,4,1,900"
    trace.read(io.StringIO(durations), "d")
    trace.read(io.StringIO("HashOwner,HashApp,SampleCount,AverageAllocatedMb\no,a,2,100\no,a,2,200"), "m")
    assert trace.row_errors == [
        "day.csv, line 3: found 5 fields, expected 1444",
        "day.csv, line 4: column 'minute 1' is not a number: 'x'",
    ]
    (row,) = trace_output.summarize(trace)
    assert (row.calls, row.rate_per_s, row.longest_gap_s) == (1440, 0.01667, 600.0)
    assert (row.mean_ms, row.most_ms, row.memory_mb) == (250.0, 900.0, 150.0)
    table = "\n".join(trace_output.format_function_tables(trace, "review", 64))
    settings = parse_settings(OPERATOR_FILE.replace("[[kind]]", table + "\n[[kind]]", 1))
    assert settings.functions["f"].memory_mb == 150.0


def test_reads_single_calls_and_rejects_file_of_unknown_format(tmp_path: Path, capsys: Any) -> None:
    file = tmp_path / "calls.csv"
    file.write_text("app,func,end_timestamp,duration\na,f,1.5,0.5\na,f,4.0,1.0\na,f,x,1\n")
    assert main(["traces", str(file), "--format", "json"]) == 0
    out, err = capsys.readouterr()
    assert '"calls": 2' in out and '"mean_gap_s": 2.0' in out and '"mean_ms": 750.0' in out
    assert "calls.csv, line 4: column 'end_timestamp'" in err
    file.write_text("a,b\n1,2\n")
    assert main(["traces", str(file)]) == 1
    assert "the header matches no known trace format" in capsys.readouterr().err
