"""What ends at an awkward moment: the real program, and stand-ins that hold, cut or close on cue.

`docs/endings.md` lists the moments.
"""

import contextlib
import json
import resource
import select
import signal
import socket
import threading
import time
import unittest
from pathlib import Path
from typing import Any

from tests.standins import (
    PATIENCE_S,
    Client,
    HoldingWorker,
    NameServer,
    Worker,
    call_lines,
    eventually,
    params,
    start_router,
)

CLOSE_SEEN_S = 0.3  # from then on nothing may begin for a client that has closed
KILLED_S = 3.7  # after SIGTERM: 0.7 s after 3 s, or the longest deadline, comes SIGKILL


class ArrivalTimesWorker(Worker):
    """Records when each call and each load request came."""

    def __init__(self) -> None:
        self.arrived_s: list[float] = []  # Unix time
        super().__init__()

    def _answer(self, message: dict[str, Any]) -> dict[str, Any] | bytes | None:
        if message["kind"] in ("CALL", "LOAD"):
            self.arrived_s.append(time.time())
        return super()._answer(message)


class PersistentClient:
    """A client with a thread of its own that sends anew as it is answered, until it finds a close."""

    def __init__(self, port: int, method: str, ahead: int) -> None:
        self.client = Client(port)
        self.method = method
        self.ahead = ahead
        self.open = set[int]()
        self.answered = 0
        self.faults = list[str]()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _send(self) -> None:
        with contextlib.suppress(BrokenPipeError), self.client.in_one_write():  # a close: that is read next
            for _ in range(max(1, self.ahead // 4)):
                check = self.method == "check"
                self.open.add(self.client.send("check") if check else self.client.call(self.method, b"abc"))

    def _run(self) -> None:
        try:
            while len(self.open) < self.ahead:
                self._send()
            while (answer := self.client.read()) is not None:
                if answer.get("id") not in self.open:
                    self.faults.append(repr(answer))
                self.open.discard(answer["id"])
                self.answered += 1
                if len(self.open) < self.ahead:
                    self._send()
        except OSError as fault:
            self.faults.append(repr(fault))

    def end(self) -> list[str]:
        """What was wrong, up to a clean close."""
        self.thread.join(PATIENCE_S)
        self.client.close()
        return self.faults + (["it has not ended"] if self.thread.is_alive() else [])


class ClientGoneTest(unittest.TestCase):
    """Nothing begins for a client that has closed its connection, whatever its call waits for."""

    def start(self, *workers: Worker, **changes: Any) -> None:
        self.names = NameServer()
        self.names.workers = [(f"s-{number}", worker.port, 0) for number, worker in enumerate(workers)]
        self.program = start_router(list(workers), self.names, **changes)
        self.addCleanup(self.program.kill)
        self.client = Client(self.program.port("platform"))

    def test_call_that_waits_for_its_connection_is_not_sent_once_that_comes_up(self) -> None:
        limits = params()["limits"] | {"cancelling": False}
        for ending, changes in (("close", {}), ("interrupt", {}), ("interrupt", {"limits": limits})):
            with self.subTest(ending, changes=changes):
                worker = HoldingWorker()
                self.start(worker, **changes)
                id_ = self.client.call_until_sent(self.program, "review", b"abc")
                if ending == "close":
                    self.client.close()
                else:
                    self.client.send("interrupt", {"id": id_}, id_=id_)
                time.sleep(CLOSE_SEEN_S)
                worker.accept_connections()
                # What comes after it by the same connection shows that it came up, and that it was dropped.
                other = Client(self.program.port("platform"))
                other.call_until_served("review", b"later")
                self.assertEqual([line["bytes"] for line in call_lines(worker)], ["bGF0ZXI="])
                counters = self.program.counters()
                self.assertEqual(counters.get("attempts.moot", 0) + counters.get("attempts.cancelled", 0), 1)
                self.assertNotIn("states.invalid_transitions", counters)
                other.close()
                self.program.kill()

    def test_call_is_not_tried_again_once_its_client_has_closed(self) -> None:
        first = Worker()
        second = Worker()
        self.start(first, second)
        for worker in (first, second):
            worker.pause()  # the attempt is out, and not answered
        self.client.call("review", b"full:")
        eventually(lambda: self.program.counters().get("attempts.sent"), "the attempt")
        self.client.close()
        time.sleep(CLOSE_SEEN_S)
        for worker in (first, second):
            worker.resume()
        eventually(lambda: self.program.counters().get("attempts.full"), "the answer")
        time.sleep(CLOSE_SEEN_S)
        self.assertEqual(len(call_lines(first, second)), 1)
        self.assertEqual(self.program.counters()["attempts.sent"], 1)

    def test_call_that_is_held_between_tries_is_dropped_with_its_client(self) -> None:
        worker = Worker()
        self.start(worker)
        self.client.call("review", b"full:")
        eventually(lambda: self.program.counters().get("attempts.full"), "the first try")
        self.client.close()
        time.sleep(CLOSE_SEEN_S)
        before = len(call_lines(worker))
        time.sleep(3.0)  # the pause after a full answer is over by then
        self.assertEqual(len(call_lines(worker)), before)

    def test_client_that_ended_its_side_alone_gets_the_answer_of_what_is_out(self) -> None:
        worker = Worker()
        self.start(worker)
        worker.pause()
        id_ = self.client.call("review", b"abc")
        eventually(lambda: self.program.counters().get("attempts.sent"), "the attempt")
        self.client.socket.shutdown(socket.SHUT_WR)
        time.sleep(CLOSE_SEEN_S)
        worker.resume()
        self.assertEqual(self.client.read(), {"jsonrpc": "2.0", "id": id_, "result": {"blob": "Y2Jh"}})
        self.assertIsNone(self.client.read())
        self.client.close()

    def test_what_came_and_was_called_off_while_the_process_stood_still_is_not_begun(self) -> None:
        worker = Worker()
        self.start(worker)
        self.client.call_until_served("review", b"abc")
        for ending in ("close", "interrupt"):
            self.program.process.send_signal(signal.SIGSTOP)
            other = Client(self.program.port("platform"))
            id_ = other.call("review", b"late")
            if ending == "close":
                other.close()
            else:
                other.send("interrupt", {"id": id_}, id_=id_)
            time.sleep(1.5)  # over any wait of its loop
            self.program.process.send_signal(signal.SIGCONT)
            time.sleep(CLOSE_SEEN_S)
        self.client.call_until_served("review", b"abc")
        self.assertEqual({line["bytes"] for line in call_lines(worker)}, {"YWJj"})


class DrainTest(unittest.TestCase):
    """The process ends, and each request that it took has its one answer."""

    def setUp(self) -> None:
        self.worker = Worker()
        self.names = NameServer()
        self.program = start_router([self.worker], self.names)
        self.addCleanup(self.program.kill)
        self.port = self.program.port("platform")

    def test_request_that_comes_when_nothing_is_owed_is_answered_or_finds_a_clean_close(self) -> None:
        """Callers that ask again the moment they have their answer, up to the very end of the process."""
        faults = list[str]()
        sent = [0]

        def ask() -> None:
            client = Client(self.port)
            while True:
                try:
                    id_ = client.call("test-submit", b"abc")
                    sent[0] += 1
                    answer = client.read()
                except (ConnectionError, OSError) as fault:
                    faults.append(repr(fault))
                    return
                if answer is None:  # a clean end, which the request has crossed
                    return
                if answer.get("id") != id_:
                    faults.append(repr(answer))

        callers = [threading.Thread(target=ask, daemon=True) for _ in range(8)]
        for caller in callers:
            caller.start()
        eventually(lambda: sent[0] > 100, "calls")
        self.program.process.send_signal(signal.SIGTERM)
        for caller in callers:
            caller.join(PATIENCE_S)
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertEqual(faults, [])
        self.assert_answered()

    def assert_answered(self) -> None:
        """Whatever was taken had its one answer."""
        counters = json.loads(self.program.find(r'^(\{"counters".*)'))["counters"]
        answered = sum(count for name, count in counters.items() if name.startswith("answers."))
        self.assertEqual((counters["requests.taken"], counters.get("requests.withdrawn", 0)), (answered, 0))

    def keep_sending(self, method: str, ahead: int) -> PersistentClient:
        """A client that never stops: it has always about so many open."""
        persistent = PersistentClient(self.port, method, ahead)
        eventually(lambda: persistent.answered > ahead, "answers")
        return persistent

    def held_call(self) -> Client:
        """One that is open till the process ends, so that at no time before nothing is pending."""
        client = Client(self.port)
        client.call("test-submit", b"hang:", limit_ms=15_000)
        self.addCleanup(client.close)
        return client

    def test_clients_that_never_stop_are_parted_with_while_another_is_still_owed_its_answer(self) -> None:
        held = self.held_call()
        persistent = [self.keep_sending(*kind) for kind in (("review", 4), ("review", 1), ("test-submit", 2))]
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual([client.end() for client in persistent], [[], [], []])
        self.assertEqual(select.select([held.socket], [], [], 0)[0], [])
        self.assertIn("error", held.read() or {})
        self.assertIsNone(held.read())
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assert_answered()

    def test_clients_whose_connections_are_never_read_to_their_end_find_a_clean_close(self) -> None:
        held = self.held_call()
        persistent = [self.keep_sending("check", 2000), self.keep_sending("check", 2000)]
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual([client.end() for client in persistent], [[], []])
        self.assertIn("error", held.read() or {})
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assert_answered()

    def test_connections_that_wait_to_be_accepted_do_not_keep_a_process_without_a_descriptor(self) -> None:
        idle = [Client(self.port) for _ in range(8)]
        for client in idle:
            client.send("check")
            client.read()
        open_now = len(list(Path(f"/proc/{self.program.process.pid}/fd").iterdir()))
        resource.prlimit(self.program.process.pid, resource.RLIMIT_NOFILE, (open_now, 256))
        waiting = [Client(self.port) for _ in range(4)]
        for client in waiting:
            client.send("check")
        started_s = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertLess(time.monotonic() - started_s, KILLED_S)
        for client in (*idle, *waiting):
            client.close()

    def test_call_that_outlasts_the_process_is_answered_before_it_is_killed(self) -> None:
        client = Client(self.port)
        id_ = client.call("test-submit", b"hang:", limit_ms=15_000)
        eventually(lambda: self.worker.ran, "the call")
        started_s = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        answer = client.read() or {}
        self.assertEqual((answer.get("id"), "error" in answer), (id_, True))
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertLess(time.monotonic() - started_s, KILLED_S)
        # Not by luck, as its parts fall: what ends a worker's connection first would bring an answer, too.
        self.program.find("(nothing is owed)")
        client.close()

    def test_client_that_never_reads_its_answers_does_not_keep_the_process(self) -> None:
        unreading = socket.socket()
        unreading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unreading.connect(("127.0.0.1", self.port))
        client = Client(self.port, unreading)
        for _ in range(14):
            client.call("review", b"long:")
        eventually(lambda: self.program.counters().get("answers.served", 0) >= 14, "the answers")
        started_s = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertLess(time.monotonic() - started_s, 4.5)
        unreading.close()

    def test_sigterm_at_any_moment_of_the_start_ends_the_process_soon(self) -> None:
        for delay_s in (0.0, 0.1, 0.2, 0.3, 0.4, 0.6):
            program = start_router([self.worker], NameServer())
            time.sleep(delay_s)
            program.process.send_signal(signal.SIGTERM)
            try:
                self.assertIn(program.process.wait(PATIENCE_S), (0, -signal.SIGTERM))
                self.assertFalse([line for line in program.log if "Traceback" in line])
            finally:
                program.kill()


class DescriptorsTest(unittest.TestCase):
    def test_new_name_server_is_heard_though_idle_clients_hold_every_descriptor(self) -> None:
        worker = Worker()
        names = NameServer()
        other = NameServer()
        names.workers = other.workers = [("s-0", worker.port, 0)]
        names.serial = 2
        other.serial = 3
        program = start_router([worker], names)
        self.addCleanup(program.kill)
        idle = [Client(program.port("platform")) for _ in range(40)]
        for client in idle:
            client.send("check")
            client.read()
        eventually(lambda: program.counters().get("names.lists"), "the list")
        open_now = len(list(Path(f"/proc/{program.process.pid}/fd").iterdir()))
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (open_now, 256))
        reloaded = program.reload(lambda text: text.replace(str(names.port), str(other.port)))
        self.assertEqual(reloaded["taken"], ["dns"])
        eventually(lambda: other.queries, "a query to the new name server")
        eventually(lambda: program.counters().get("names.lists", 0) > 1 or other.queries > 3, "its list")
        self.assertGreater(program.counters()["descriptors.none_left"], 0)
        for client in idle:
            client.close()


class ReloadTest(unittest.TestCase):
    def test_new_name_server_that_says_nothing_leaves_no_drain_untold(self) -> None:
        workers = [Worker(), Worker()]
        names = NameServer()
        names.workers = [(f"s-{number}", worker.port, 0) for number, worker in enumerate(workers)]
        program = start_router(workers, names)
        self.addCleanup(program.kill)
        port = program.port("platform")
        eventually(lambda: names.queries, "a query")
        silent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        silent.bind(("127.0.0.1", 0))
        reloaded = program.reload(lambda text: text.replace(str(names.port), str(silent.getsockname()[1])))
        self.assertEqual(reloaded["taken"], ["dns"])
        names.workers = [("s-0", workers[0].port, 1), ("s-1", workers[1].port, 0)]
        names.serial = 2
        eventually(lambda: program.counters().get("names.lists"), "the list of the one before")
        client = Client(port)
        for number in range(12):
            client.call_until_served("review", b"x", item=f"f{number}")
        self.assertEqual((len(workers[0].ran), len(workers[1].ran)), (0, 12))
        client.close()
        silent.close()


class FleetSlowStartTest(unittest.TestCase):
    ROUTERS = 20
    FUNCTIONS = 40
    CALLS_PER_S = 24.0  # 0.6 of what three of these workers carry
    WORKER_CALLS_PER_S = CALLS_PER_S / 0.6 / 3
    JOIN_S = 4.0  # after the start, when the cold worker comes
    END_S = 9.0

    def test_cold_worker_gets_no_more_than_its_budget_from_twenty_routers_together(self) -> None:
        """A warm worker drains just as a cold one comes: every router has homes to move, and thin traffic."""
        self.workers = [Worker(), Worker(), Worker()]
        self.names = NameServer()
        self.names.workers = [(f"s-{number}", worker.port, 0) for number, worker in enumerate(self.workers)]
        programs = [
            start_router(self.workers, self.names, instances=self.ROUTERS) for _ in range(self.ROUTERS)
        ]
        for program in programs:
            self.addCleanup(program.kill)
        # Once all have started: a connection that sends nothing for 1.5 s is closed.
        ports = [program.port("platform") for program in programs]
        clients = [Client(port) for port in ports]
        for client in clients:
            self.addCleanup(client.close)
        self.cold = ArrivalTimesWorker()
        joined_s = self.call_in_turns(clients)
        self.check_budget(joined_s)

    def call_in_turns(self, clients: list[Client]) -> float:
        """Call until the end; the Unix time at which the cold worker was listed."""
        started_s = time.time()
        joined_s = 0.0
        turn = 0
        while (now_s := time.time()) < started_s + self.END_S:
            if not joined_s and now_s > started_s + self.JOIN_S:
                joined_s = now_s
                self.list_cold_worker(joined_s)
            # Uneven: a third of the routers get most of the calls.
            client = clients[turn * turn % self.ROUTERS]
            client.call("review", b"abc", item=f"{turn * 7 % self.FUNCTIONS:016x}")
            with contextlib.suppress(OSError):
                client.read()
            turn += 1
            time.sleep(max(0.0, started_s + turn / self.CALLS_PER_S - time.time()))
        return joined_s

    def list_cold_worker(self, joined_s: float) -> None:
        """The name server's second list: the last warm worker drains, and the cold one has just started."""
        self.names.workers = [
            ("s-0", self.workers[0].port, 0),
            ("s-1", self.workers[1].port, 0),
            ("s-2", self.workers[2].port, 1),
            ("cold", self.cold.port, 0),
        ]
        self.names.started = {"cold": int(joined_s * 1000)}
        self.names.serial = 2

    def check_budget(self, joined_s: float) -> None:
        """In no span of the overload window came more calls than the worker's share at its age allows."""
        guarantees = params()["guarantees"]
        span_s = guarantees["overloadForUs"] / 1e6
        slow_start_s = guarantees["coldUs"] / 1e6
        for at_s in self.cold.arrived_s:
            age_s = max(0.0, at_s - span_s - joined_s)
            share = guarantees["startCapacity"] + (1 - guarantees["startCapacity"]) * age_s / slow_start_s
            budget = guarantees["fallMultiple"] * share * self.WORKER_CALLS_PER_S * span_s
            count = sum(at_s - span_s < other_s <= at_s for other_s in self.cold.arrived_s)
            self.assertLessEqual(count, budget + 2 * budget**0.5 + 2)
