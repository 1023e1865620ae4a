"""The operator's file, the store, the agent, the garbage collection and the traces."""

import asyncio
import gc
import io
import re
import signal
import subprocess
import sys
import tempfile
import unittest
import weakref
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from maplestile.agent.supervisor import ask
from maplestile.invoke.operator_file import OperatorError, parse
from maplestile.invoke.store import InvocationRecord, InvocationStore
from maplestile.router.gc_scheduler import GcScheduler
from maplestile.tools import trace_output, traces
from maplestile.tools.cli import main
from maplestile.wire.http import Response
from tests.standins import ROOT, Program

TEXT = (ROOT / "deploy" / "operator.toml").read_text()


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('class = "review"', 'class = "x"', r"function\[0\].class: must be one of review"),
        ("memory_mb = 2400", 'memory_mb = "a"', r"function\[0\].memory_mb: must be a number"),
        ("lanes = 4", "lanes = 0", r"function\[0\].lanes: must be 1 or more"),
        ("lanes = 4", "lane = 4", r"function\[0\].lane: is not known here"),
        ('id = "w2"', 'id = "w1"', r"worker\[1\].id: 'w1' stands twice"),
        ("127.0.0.1:8080", "8080", "invoke.listen: must be host:port"),
        ("deadline_ms = 5000", "deadline_ms = 5", r"class\[0\].deadline_ms: must be 1000 or more"),
        ("records = 1000", "records = true", "limits.records: must be a whole number"),
    ],
)
def test_mistake_in_the_operators_file_is_named(old: str, new: str, named: str) -> None:
    assert parse(TEXT).functions["make-cards"].lanes == 2
    with pytest.raises(OperatorError, match=named):
        parse(TEXT.replace(old, new, 1))


class StoreOnHandClock:
    """A store with timers that are run by hand."""

    def __init__(self) -> None:
        self.timers: list[tuple[int, Callable[[], object]]] = []
        self.store = InvocationStore(2, 50, lambda due, then: self.timers.append((due, then)), Counter())

    def pass_to(self, now: int) -> None:
        while due := [timer for timer in self.timers if timer[0] <= now]:
            self.timers.remove(due[0])
            due[0][1]()


def test_delivered_answer_never_changes_and_an_uncollected_one_is_failed_and_dropped() -> None:
    clock = StoreOnHandClock()
    delivered = InvocationRecord("a", None, b"", 100)
    uncollected = InvocationRecord("b", ("f", "t", "k"), b"", 100)
    for record in (delivered, uncollected):
        clock.store.add(record)
        clock.store.finish(record, Response(200, b"result"))
        clock.store.finish(record, Response(502))
    assert clock.store.full()
    first = clock.store.deliver(delivered)
    clock.pass_to(100)
    assert clock.store.deliver(delivered) is first and first.status == 200
    assert (
        clock.store.deliver(uncollected).status == 504 and clock.store.deliver(uncollected).body != b"result"
    )
    clock.pass_to(150)
    assert not clock.store.records and not clock.store.by_scope


def test_pending_call_is_answered_to_its_waiters_once_at_its_deadline() -> None:
    clock = StoreOnHandClock()
    statuses: list[int] = []
    record = InvocationRecord("a", None, b"", 100)
    clock.store.add(record)
    record.waiting.append(lambda response: statuses.append(response.status))
    clock.pass_to(100)
    clock.store.finish(record, Response(200))
    assert statuses == [504] and clock.store.deliver(record).status == 504


STAYS = """import signal, sys
def tell(*_):
    print('{"counters": {"n": 3}}', file=sys.stderr, flush=True)
signal.signal(signal.SIGUSR1, tell)
print("up", file=sys.stderr, flush=True)
while True:
    signal.pause()
"""


class AgentTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = Path(tempfile.mkdtemp())
        (folder / "stays.py").write_text(STAYS)
        self.operator = folder / "operator.toml"
        self.operator.write_text(re.sub(r"127.0.0.1:808\d", "127.0.0.1:0", TEXT))
        file = folder / "agent.toml"
        file.write_text(f"""[agent]
listen = "127.0.0.1:0"
backoff_s = 0.05
backoff_most_s = 0.1
[[instance]]
name = "stays"
command = ["{sys.executable}", "{folder / "stays.py"}"]
[[instance]]
name = "falls"
command = ["{sys.executable}", "-c", "raise SystemExit(3)"]
[[instance]]
name = "router"
file = "operator.toml"
""")
        self.agent = Program("agent", str(file))
        self.addCleanup(self.agent.kill)

    async def test_agent_restarts_what_ends_and_stops_what_runs(self) -> None:
        address = ("127.0.0.1", int(self.agent.find(r"agent listens on 127\.0\.0\.1:(\d+)")))
        self.agent.find(r"\[stays\] (up)")
        self.agent.find(r"falls: (ended with 3; starts again in 0\.10 s)")  # doubled
        status = await ask(address, "status", [])
        stays = status["instances"]["stays"]
        falls = status["instances"]["falls"]
        self.assertEqual((stays["state"], stays["starts"]), ("running", 1))
        self.assertGreaterEqual(falls["starts"], 2)
        self.assertEqual(await ask(address, "counters", ["stays"]), {"counters": {"stays": {"n": 3}}})
        self.agent.find(r"\[router\] (.*platform front listens)")
        self.operator.write_text(self.operator.read_text().replace("shapla", "padma"))
        reloaded = (await ask(address, "reload", ["router", "stays"]))["reload"]
        self.assertEqual((reloaded["router"]["taken"], reloaded["stays"]), (["invoke"], None))
        self.agent.process.send_signal(signal.SIGHUP)
        self.agent.find(r"SIGHUP passed on to (router)$")
        again = await ask(address, "restart", ["stays"])
        self.assertEqual(again["instances"]["stays"]["starts"], 2)
        self.assertIn("error", await ask(address, "status", ["nobody"]))
        stopped = await ask(address, "stop", ["falls"])
        self.assertEqual(stopped["instances"]["falls"]["state"], "stopped")
        self.agent.process.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(self.agent.process.wait, 20), 0)


class SelfReference:
    """Points at itself, as a connection does."""

    def __init__(self) -> None:
        self.self = self


def test_old_garbage_is_found_by_the_full_passes_and_the_longest_pause_is_kept() -> None:
    counters, before = Counter[str](), gc.get_threshold()
    collector = GcScheduler(counters)
    collector.start()
    try:
        objects = [SelfReference() for _ in range(3)]
        gc.collect()  # they have stood for a while: the oldest generation
        dead = weakref.ref(objects[0])
        del objects
        gc.collect(1)
        assert dead() is not None
        collector.look(100.0)  # nothing was closed, so there is nothing to be found
        assert dead() is not None
        counters["clients.connections"] += 100
        collector.look(100.5)
        assert dead() is None and counters["gc.longest_us"] > 0
        closed = SelfReference()
        dead = weakref.ref(closed)
        del closed
        counters["clients.connections"] += 100
        collector.look(101.0)  # not due yet
        assert dead() is not None
    finally:
        collector.stop()
        gc.unfreeze()
        gc.set_threshold(*before)


MINUTES = "HashOwner,HashApp,HashFunction,Trigger," + ",".join(map(str, range(1, 1441)))


def test_traces_of_one_day_are_put_together_and_bad_rows_are_named() -> None:
    counts = ["0"] * 1440
    counts[0], counts[10] = "60", "1380"
    trace = traces.Trace()
    rows = [MINUTES, "o,a,f,http," + ",".join(counts), "o,a,g,http,1", "o,a,h,http," + ",".join(["x"] * 1440)]
    trace.read(io.StringIO("\n".join(rows)), "day.csv")
    durations = "HashOwner,HashApp,HashFunction,Average,Count,Minimum,Maximum\no,a,f,250,4,1,900"
    trace.read(io.StringIO(durations), "d")
    trace.read(io.StringIO("HashOwner,HashApp,SampleCount,AverageAllocatedMb\no,a,2,100\no,a,2,200"), "m")
    assert trace.bad == [
        "day.csv, line 3: 5 fields where 1444 are due",
        "day.csv, line 4: column 'minute 1' is no number: 'x'",
    ]
    (row,) = trace_output.summary(trace)
    assert (row.calls, row.rate_per_s, row.longest_gap_s) == (1440, 0.01667, 600.0)
    assert (row.mean_ms, row.most_ms, row.memory_mb) == (250.0, 900.0, 150.0)
    table = "\n".join(trace_output.functions(trace, "review", 64))
    assert parse(TEXT.replace("[[kind]]", table + "\n[[kind]]", 1)).functions["f"].memory_mb == 150.0


def test_trace_of_single_calls_and_an_unknown_file(tmp_path: Path, capsys: Any) -> None:
    file = tmp_path / "calls.csv"
    file.write_text("app,func,end_timestamp,duration\na,f,1.5,0.5\na,f,4.0,1.0\na,f,x,1\n")
    assert main(["traces", str(file), "--format", "json"]) == 0
    out, err = capsys.readouterr()
    assert '"calls": 2' in out and '"mean_gap_s": 2.0' in out and '"mean_ms": 750.0' in out
    assert "calls.csv, line 4: column 'end_timestamp'" in err
    file.write_text("a,b\n1,2\n")
    assert main(["traces", str(file)]) == 1
    assert "no trace known here" in capsys.readouterr().err


def test_command_line_says_what_is_wrong_without_a_traceback() -> None:
    for arguments in (["serve", "no-file"], ["status", "--agent", "127.0.0.1:1"], ["agent", "no-file"]):
        command = [sys.executable, "-m", "maplestile", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=False)
        assert done.returncode == 1 and "maplestile: " in done.stderr and "Traceback" not in done.stderr
