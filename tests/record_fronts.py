"""Records fronts, files and lines: `python -m tests.record_fronts` writes them under `tests/recorded`.

Each recorder gives one file's text; `tests/test_recorded_fronts.py` compares it with the file."""

import ast
import asyncio
import json
import random
import socket
import struct
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import ConfigError, TomlTable
from maplestile.control.policy.document import Document
from maplestile.operation import metrics as figures
from maplestile.router.config import config_from
from maplestile.tools.explore.cases import CASES
from maplestile.tools.explore.example_files import read
from maplestile.tools.explore.search import explore, play
from maplestile.tools.faults.control_port import ControlPort
from maplestile.tools.faults.relay import Relay
from maplestile.tools.faults.schedule import ScheduleError, schedule_from
from maplestile.tools.model import experiment
from maplestile.wire import dns, jsonrpc, runner
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Request, Verdict
from tests.faulty import FAULTS
from tests.recording import PROCESS_MASKS, Recorder, as_json, masked, plain, record, relative, run
from tests.standins import PATIENCE_S, ROOT, Program, Worker, eventually, name_bytes, params, target
from tests.standins import record as dns_record

SAVED = (
    "unsafe-once",
    "keyed-in-scope",
    "attempt-limit",
)  # told without names of the code
FATES = 12  # draws of a schedule's fate at each time looked at
JsonTables = dict[str, Any]


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

# The HTTP fronts of a real process.


def exchange(port: int, method: str, path: str, body: str = "", *headers: str) -> str:
    """One request, and all that the front sends back."""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(body)}\r\n"
    request = head + "".join(f"{header}\r\n" for header in headers) + "\r\n" + body
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as link:
        link.sendall(request.encode())
        with link.makefile("rb") as answer:
            return answer.read().decode().replace("\r\n", "\n")


def shown(port: int, method: str, path: str, body: str = "", *headers: str) -> str:
    asked = f"> {method} {path} {body}".rstrip()
    return masked(f"{asked}\n{exchange(port, method, path, body, *headers).rstrip()}\n", PROCESS_MASKS)


def router_file(folder: Path, workers: list[Worker], more: str = "") -> Path:
    text = (ROOT / "deploy" / "fleet" / "r1.toml").read_text()
    for old, new in (
        ("127.0.0.1:8110", "127.0.0.1:0"),
        ("127.0.0.1:8112", "127.0.0.1:0"),
        ("127.0.0.1:7941", "127.0.0.1:0"),
        ('seeds = ["127.0.0.1:7942", "127.0.0.1:7943"]', "seeds = []"),
        *((f"127.0.0.1:900{n}", f"127.0.0.1:{worker.port}") for n, worker in enumerate(workers, 1)),
    ):
        text = text.replace(old, new)
    file = folder / "router.toml"
    file.write_text(text + more)
    return file


def with_router(more: str, ask: Callable[[Program], str]) -> str:
    with tempfile.TemporaryDirectory() as folder:
        workers = [Worker(), Worker()]
        file = router_file(Path(folder), workers, more.replace("FOLDER", folder))
        program = Program("serve", str(file), TMPDIR=folder)

        def settled() -> bool:
            told = exchange(program.port("operator"), "GET", "/v1/metrics")
            return "svc_hosts_down 0" in told and "svc_peers_duties 2" in told

        try:
            eventually(settled, "the router to know its runners")
            return ask(program)
        finally:
            program.kill()
            for worker in workers:
                worker.listener.shutdown(socket.SHUT_RDWR)
                worker.listener.close()


def operators_front() -> str:
    """A router with two runners that nobody has called yet."""

    def ask(program: Program) -> str:
        port = program.port("operator")

        return "\n".join(
            shown(port, method, path)
            for method, path in (
                ("GET", "/v1/readyz"),
                ("GET", "/v1/metrics"),
                ("GET", "/v1/members"),
                ("GET", "/v1/runners"),
                ("GET", "/v1/policy"),
                ("POST", "/v1/policy/check"),
                ("POST", "/v1/readyz"),
                ("PUT", "/v1/metrics"),
                ("DELETE", "/v1/members"),
                ("PUT", "/v1/runners"),
                ("GET", "/v1/nothing"),
                ("PUT", "/v1/runners/w9/suspend"),
                ("PUT", "/v1/runners/%ff/suspend"),
                ("GET", "/v1/runners/w1/suspend"),
                ("PUT", "/v1/runners/w1/suspend"),
                ("PUT", "/v1/runners/w1/suspend"),
                ("GET", "/v1/runners"),
                ("PUT", "/v1/runners/w1/resume"),
                ("GET", "/v1/runners"),
                ("GET", "/v1/readyz?more"),
            )
        )

    return with_router("", ask)


def policy_front() -> str:
    """A router whose policy is the fleet's: before its agent told it, after, and with changes to check."""

    def word(epoch: int, **more: object) -> str:
        return json.dumps({"epoch": epoch, "fenced_us": time.monotonic_ns() // 1000, "checking": 0, **more})

    def ask(program: Program) -> str:
        port, path = program.port("operator"), "/v1/policy"
        classes = [{"name": "review", "aim_ms": 900, "deadline_ms": 4000, "semantics": "safe"}]
        good, bad = {"rules": {"attempts": 2}, "class": classes}, {"rules": {"attempts": 0}, "class": classes}
        steps = [
            ("GET", "/v1/readyz", ""),
            ("GET", path, ""),
            ("PUT", path, word(0, document=None)),
            ("GET", path, ""),
            ("POST", path + "/check", json.dumps({"document": good})),
            ("POST", path + "/check", json.dumps({"document": bad})),
            ("POST", path + "/check", json.dumps({"document": good, "change": 1, "base": 0})),
            ("POST", path + "/check", json.dumps({"document": bad, "change": 1, "base": 0})),
            ("POST", path + "/check", "{"),
            ("PUT", path, "[]"),
            ("PUT", path, "{"),
            ("DELETE", path, ""),
            ("PUT", path, word(1)),
            ("PUT", path, word(1, document=good)),
            ("GET", path, ""),
            ("PUT", path, word(2, document=bad)),
            ("GET", "/v1/readyz", ""),
            ("GET", "/v1/metrics", ""),
        ]
        return "\n".join(shown(port, *step) for step in steps)

    return with_router('\n[policy]\nfolder = "FOLDER/policy"\nstale_s = 600\n', ask)


def invoke_front() -> str:
    """Right and wrong calls; one refused for lag on a busy machine comes again."""

    def ask(program: Program) -> str:
        port, path = program.port("invoke"), "/v1/functions/score-bangla/invocations"

        def served() -> str | None:
            answer = shown(port, "POST", path, "abc")
            return answer if "HTTP/1.1 200 " in answer else None

        told = [str(eventually(served, "a call to be served"))]
        for method, where, body, *headers in (
            ("GET", path, ""),
            ("POST", "/v1/functions/nothing/invocations", ""),
            ("GET", "/v1/nothing", ""),
            ("GET", "/v1/invocations/00ff", ""),
            ("DELETE", "/v1/invocations/00ff", ""),
            ("POST", path, "abc", "Maplestile-Class: nothing"),
            ("POST", path, "abc", "Maplestile-Deadline-Ms: x"),
            ("POST", path, "abc", "Maplestile-Deadline-Ms: 0"),
            ("POST", path, "abc", "Idempotency-Key: " + 200 * "k"),
            ("POST", path, 20_000 * "x"),
        ):
            asked = f"> {method} {where} {len(body)} bytes {' '.join(headers)}".rstrip()
            told.append(masked(f"{asked}\n{exchange(port, method, where, body, *headers).rstrip()}\n"))
        return "\n".join(told)

    return with_router("", ask)


def agent_lines() -> str:
    """The answers of a real agent with a router, a process that stays, and one that ends at once."""

    def ask(port: int, line: str) -> str:
        with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as link:
            link.sendall(line.encode() + b"\n")
            with link.makefile("rb") as answer:
                return f"> {line}\n{answer.read().decode()}"

    with tempfile.TemporaryDirectory() as folder:
        workers = [Worker(), Worker()]
        router_file(Path(folder), workers)
        (Path(folder) / "agent.toml").write_text(AGENT_FILE)
        program = Program("agent", str(Path(folder) / "agent.toml"), TMPDIR=folder)
        try:
            port = int(program.find(r"agent listens on 127\.0\.0\.1:(\d+)"))
            program.find(r"\[router\] (.*operator front listens)")
            program.find(r"lost: (.*)")
            told = "\n".join(ask(port, line) for line in AGENT_LINES)
            program.stop()
        finally:
            program.kill()
            for worker in workers:
                worker.listener.shutdown(socket.SHUT_RDWR)
                worker.listener.close()
    return masked(told, PROCESS_MASKS)


def metrics_text() -> str:
    """The text of known figures, with everything that a router may tell."""
    answers = {
        ("review", Verdict.SERVED): 3,
        ("review", Verdict.REJECTED): 4,
        ("review", Verdict.FAILED): 1,
        ("review", Verdict.EXPIRED): 2,
        ('a"b', Verdict.SERVED): 5,
    }
    membership = {name: number for number, name in enumerate(figures.MEMBERSHIP)}
    policy = {name: number + 0.5 for number, name in enumerate(figures.POLICY)}
    epochs = {3: {"calls": 7, "attempts": 8}, 4: {"calls": 1}}
    report = figures.MetricsReport(("review", 'a"b'), answers, 7, 2, 5, 1, membership, policy, epochs)
    return figures.text(report)


def counter_names() -> str:
    """The names of the project's own counters, wherever one is added to; what is put in is shown as `{}`."""
    names = set[str]()
    for file in (ROOT / "maplestile").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.AugAssign) and isinstance(node.target, ast.Subscript):
                names |= _texts(node.target.slice)
    return "\n".join(sorted(name for name in names if "." in name)) + "\n"


def _texts(node: ast.expr) -> set[str]:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value}
    if isinstance(node, ast.IfExp):
        return _texts(node.body) | _texts(node.orelse)
    if isinstance(node, ast.JoinedStr):
        parts = (part.value if isinstance(part, ast.Constant) else "{}" for part in node.values)
        return {"".join(str(part) for part in parts)}
    return set()


# The explorer's saved examples.


def saved_examples() -> str:
    """What the explorer finds in deliberate faults, as it is saved, and how it replays."""
    told: list[str] = []
    for _, case, parts in (fault for fault in FAULTS if fault[0] in SAVED):
        example = explore(CASES[case], depth=7, components=parts).example
        assert example is not None
        problems = play(CASES[case], example.events, parts).problems
        told.append(example.text() + "".join(f"replayed: {name}: {text}\n" for name, text in problems))
    return "\n".join(told)


def example_files() -> str:
    """A saved example is written as it was read; a spoilt one is refused with its place."""
    file = ROOT / "examples" / "explore" / "keyed-window.json"
    told = [read(file).text()]
    tables: JsonTables = json.loads(file.read_text())
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
            spoilt = Path(folder) / "example.json"
            spoilt.write_text(json.dumps(tables | changed))
            told.append(f"{json.dumps(changed)}\n{run('explore', '--replay', str(spoilt))}")
    return "\n".join(told)


# Faults.


def schedules() -> str:
    """What each schedule of the examples does to datagrams, at some times, by a known chance."""
    told: JsonTables = {}
    for file in sorted((ROOT / "examples" / "model").glob("*.toml")):
        schedule = schedule_from(TomlTable(experiment.read(file), "", ScheduleError))
        chance = random.Random(7)
        told[relative(file)] = [
            [
                [schedule.cut(0, 9, at), schedule.cut(9, 0, at)],
                [schedule.fate(0, 9, at, chance) for _ in range(FATES)],
            ]
            for at in (0, 15_000_000, 60_000_000)
        ]
    return as_json(told)


def relay_replies() -> str:
    lines = (
        "",
        "[]",
        "{}",
        '{"do": "nothing"}',
        '{"do": "counts"}',
        '{"do": "counts", "more": 1}',
        '{"do": "udp", "member": 0, "address": "127.0.0.1:1"}',
        '{"do": "udp", "member": 9, "address": "127.0.0.1:1"}',
        '{"do": "udp", "member": 0, "address": "10.0.0.1:1"}',
        '{"do": "udp", "member": 0}',
        '{"do": "tcp", "from": 0, "to": 1, "address": "127.0.0.1:1"}',
        '{"do": "tcp", "from": 0, "to": 1, "address": "127.0.0.1:1"}',
        '{"do": "tcp", "from": 0, "to": 7, "address": "127.0.0.1:1"}',
        '{"do": "begin"}',
        '{"do": "begin", "schedule": {"kill": [{"at_s": 1, "member": 1}]}}',
        '{"do": "begin", "schedule": {"net": {"loss": 2}}}',
        '{"do": "begin", "schedule": {"nothing": 2}}',
        '{"do": "heal"}',
        '{"do": "heal", "more": 1}',
        '{"do": "counts"}',
    )

    async def ask() -> str:
        relay = Relay(schedule_from(TomlTable({"seed": 1, "members": 3}, "", ScheduleError)))
        await relay.open()
        port = ControlPort(relay)
        replies = [f"> {line}\n{json.dumps(await port.execute(line.encode()))}\n" for line in lines]
        return masked("".join(replies))

    return asyncio.run(ask())


# Files.


def policies() -> str:
    """Documents of policy: the canonical text and the digest, or what is wrong."""
    klass = {"name": "review", "aim_ms": 800, "deadline_ms": 4000, "semantics": "safe"}
    told: list[object] = []
    documents: tuple[object, ...] = (
        {},
        {"rules": {"keep_s": 9.7, "attempts": 3}},
        {"class": [klass], "limits": {"records": 7}, "rules": {}},
        [],
        {"worker": []},
        {"limits": []},
        {"limits": {"sockets": 1}},
        {"rules": {"x": float("nan")}},
        {"rules": {"x": 20_000 * "x"}},
    )
    file = {"name": "r", "rules": {"attempts": 1}, "limits": {"sockets": 9, "records": 1}}
    for tables in documents:
        try:
            document = Document.of(tables)
            told.append([document.text, document.digest(), document.over(file)])
        except ConfigError as fault:
            told.append(f"refused: {fault}")
    return as_json(told)


def settings() -> str:
    """The platform's configuration: what the router is told, and what its decisions and limits get; and what
    is said of each field that is missing or of another type."""
    targets = [target("s-0", 9001), target("s-1", 9002, "Terminating")]
    known = {"index": 1, "updates": [{"index": 1, "endpoints": {"all": True, "targets": targets}}]}
    whole: JsonTables = {
        "name": "n0",
        "listen": "127.0.0.1:7000",
        "dns": "127.0.0.1:5353",
        "operator": "127.0.0.1:7001",
        "seed": "ff",
        "limits": {"sockets": 256, "memory_mb": 64},
        "known": known,
        "settings": params(zone="z", discovery="ask", tenants=[{"name": "t"}]),
    }
    told = {"whole": _configured(whole), "least": _configured({"settings": params(familyInfo={}, kinds=[])})}
    for place, tables in (
        ("", whole),
        ("settings", whole["settings"]),
        ("limits", whole["settings"]["limits"]),
        ("guarantees", whole["settings"]["guarantees"]),
        ("familyInfo", whole["settings"]["familyInfo"]),
        ("grades", whole["settings"]["grades"][0]),
    ):
        for name in list(tables):
            kept = tables.pop(name)
            told[f"{place}.{name} missing"] = _configured(whole)
            tables[name] = {"odd": []}
            told[f"{place}.{name} odd"] = _configured(whole)
            tables[name] = kept
    first, *others = told.items()
    least = dict(others[:1])
    lines = [f"{place}: {_short(value, told['whole'])}" for place, value in others[1:]]
    return as_json([dict([first]), least]) + masked("\n".join(lines)) + "\n"


def _short(value: Any, whole: Any) -> str:
    """Only what is otherwise than in the whole, by its place."""
    if isinstance(value, str):
        return value
    before = dict(_leaves(whole, ""))
    after = dict(_leaves(value, ""))
    changed = [
        f"{place} {json.dumps(after.get(place))}"
        for place in sorted(before | after)
        if before.get(place) != after.get(place)
    ]
    return f"taken: {', '.join(changed) or 'as whole'}"


def _leaves(value: Any, place: str) -> Iterator[tuple[str, Any]]:
    if isinstance(value, list):
        for number, each in enumerate(value):
            yield from _leaves(each, f"{place}/{number}")
    else:
        yield place, value


def _configured(told: JsonTables) -> Any:
    try:
        config = config_from(told)
    except ConfigError as fault:
        return f"refused: {fault}"
    addresses = [config.name, config.listen, config.dns, config.operation, config.seed]
    return plain([addresses, config.settings, config.limits, config.fleet.shown()])


# Lines and datagrams.


def dns_bytes() -> str:
    """Queries out, and replies in: whole, cut off at each place, and wrong."""
    name = "s-1.z.runners"
    told: JsonTables = {"queries": [dns.query(7, name, kind).hex() for kind in (dns.A, dns.TXT, dns.SRV)]}
    query = dns.query(7, "runners", dns.SRV)
    host = name_bytes(name)
    texts = b"".join(bytes([len(text)]) + text for text in (b"cell=3", b"kind=std", b"started=12"))
    soa = name_bytes("a") + name_bytes("b") + struct.pack("!5I", 42, 1, 1, 1, 1)
    body = (
        query[12:]
        + dns_record(name_bytes("runners"), dns.SRV, struct.pack("!3H", 1, 40, 9001) + host)
        + dns_record(name_bytes("runners"), dns.SOA, soa)
        + dns_record(host, dns.A, bytes([127, 0, 0, 1]))
        + dns_record(host, dns.TXT, texts)
    )
    whole = struct.pack("!6H", 7, dns.RESPONSE, 1, 1, 1, 2) + body
    reply = dns.parse(whole)
    told["reply"] = [whole.hex(), reply]
    told["entry"] = dns.worker_entry(reply, reply.targets[0])
    bad = {
        "no reply": struct.pack("!6H", 7, 0, 1, 1, 1, 2) + body,
        "no record": whole[:12],
        "truncated": struct.pack("!6H", 7, dns.RESPONSE | dns.TRUNCATED, 1, 1, 1, 2) + body,
        "code": struct.pack("!6H", 7, dns.RESPONSE | 3, 1, 1, 1, 2) + body,
    }
    bad |= {f"cut at {size}": whole[:size] for size in range(0, len(whole), 7)}
    for what, data in bad.items():
        try:
            told[what] = dns.parse(data)
        except dns.DnsError as fault:
            told[what] = f"refused: {fault}"
    return as_json(told)


def runner_lines() -> str:
    request = Request("00ff", "score-\u00e9", "review", 5_000_000, 100.0, 4, 0, "t", False, 'k"1', b"abc\0")
    plain = Request("00ff", "f", "review", 5_000_000)
    told: JsonTables = {
        "commands": [
            runner.call(request, 1_234_567),
            runner.call(plain, 10),
            runner.cancel("t"),
            runner.load("t", "f", 2),
            runner.unload("f"),
            runner.stats("t"),
        ]
    }
    lines = [f'{{"call": "t", "kind": "{kind}"}}' for kind in runner.RESULTS] + [
        '{"call": "t", "kind": 200, "head": {"ahead": "1", "units": 2, "stats": "a:1;b:2"}, "bytes": "YQ=="}',
        '{"call": "t", "kind": "status", "stats": "queue:3"}',
        '{"call": "t"}',
        '{"kind": 200}',
        "[]",
        "{",
        "",
        '{"call": "t", "kind": 999}',
        '{"call": "t", "kind": 200, "bytes": "?"}',
        '{"call": "t", "kind": 200, "head": {"ahead": "x"}}',
        '{"call": "t", "kind": 200, "head": {"stats": "a"}}',
    ]
    for line in lines:
        try:
            told[line] = runner.parse(memoryview(line.encode()))
        except runner.LineError as fault:
            told[line] = f"refused: {fault}"
    return as_json(told)


def jsonrpc_messages() -> str:
    """Requests in and answers out, with the errors that a wrong request gets."""
    limits = Limits()
    known = jsonrpc.KnownNames(classes={"review": False, "deck-make": True}, tenants=frozenset({"t"}))
    good: JsonTables = {
        "txn": "00112233445566ff",
        "limit": 1000,
        "item": "7f3a",
        "info": "memory_mb:100;lanes:4",
        "cpu": 1.5,
        "team": "t",
        "second": 1,
        "blob": "YWJj",
    }
    changes: tuple[JsonTables, ...] = (
        {},
        {"txn": "x"},
        {"txn": 1},
        {"limit": 0},
        {"limit": "x"},
        {"limit": -1},
        {"limit": 10**9},
        {"item": ""},
        {"item": "a b"},
        {"info": 1},
        {"info": "lanes:x"},
        {"cpu": "x"},
        {"team": "u"},
        {"team": 1},
        {"second": 0},
        {"blob": "?"},
        {"blob": 1},
        {"unique": "k"},
        {"unique": "a b"},
    )
    messages: list[object] = [{"id": 1, "method": "review", "params": good | changed} for changed in changes]
    messages += [
        {"id": 1, "method": "review", "params": {n: v for n, v in good.items() if n != left}} for left in good
    ]
    messages += [
        {"id": 1, "method": "deck-make", "params": good},
        {"id": 1, "method": "deck-make", "params": good | {"unique": "k"}},
        {"id": 1, "method": "nothing"},
        {"id": 1, "method": "check"},
        {"method": "check"},
        {"id": "x", "method": "check"},
        {"id": True, "method": "check"},
        {"id": 1},
        {"id": 1, "method": "review", "params": []},
        [],
        1,
        None,
        {"id": 3, "method": "interrupt"},
        {"method": "interrupt", "params": {"id": 4}},
        {"method": "interrupt", "params": {"txn": "00"}},
        {"method": "interrupt", "params": {"txn": 1}},
    ]
    told: list[object] = []
    for text in [json.dumps(message) for message in messages] + ["", "{", "\x00"]:
        try:
            told.append([text, jsonrpc.parse(memoryview(text.encode()), limits, known)])
        except jsonrpc.RpcError as fault:
            told.append([text, jsonrpc.error(fault.id, fault.code, str(fault))])
    outcomes = (
        Outcome(Verdict.SERVED, b"abc"),
        Outcome(Verdict.REJECTED, b"", 70_000),
        Outcome(Verdict.REJECTED),
        Outcome(Verdict.FAILED),
        Outcome(Verdict.EXPIRED),
    )
    told += [jsonrpc.answer(5, outcome) for outcome in outcomes]
    told += [jsonrpc.result(5, {"ok": True}), jsonrpc.frame({"a": 1})]
    streams = (
        b"Content-Length: 2\r\n\r\n{}Content-Length: 1\r\nX: y\r\n\r\n1",
        b"content-length:2\r\n\r\n{",
        b"X\r\n\r\n",
        b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n1",
        b"Content-Length: +1\r\n\r\n1",
        b"X: y\r\n\r\n",
        b"Content-Length: 999999999\r\n\r\n",
        b"Content-Length: 9999999999\r\n\r\n",
        9000 * b"x",
    )
    for stream in streams:
        try:
            told.append([stream[:60], [bytes(one) for one in jsonrpc.Framer(limits).feed(stream)]])
        except jsonrpc.FramingError as fault:
            told.append([stream[:60], f"ends: {fault}"])
    return as_json(told)


RECORDERS: dict[str, Recorder] = {
    "front-operators.txt": operators_front,
    "front-policy.txt": policy_front,
    "front-invoke.txt": invoke_front,
    "agent-lines.txt": agent_lines,
    "metrics.txt": metrics_text,
    "counter-names.txt": counter_names,
    "explorer-saved-examples.txt": saved_examples,
    "explorer-example-files.txt": example_files,
    "faults-schedules.json": schedules,
    "faults-relay.txt": relay_replies,
    "files-policy.json": policies,
    "files-settings.txt": settings,
    "wire-dns.json": dns_bytes,
    "wire-runner.json": runner_lines,
    "wire-jsonrpc.json": jsonrpc_messages,
}

if __name__ == "__main__":
    record(RECORDERS)
