"""Tests of the handover between real router processes, under load and with cordons."""

import json
import tempfile
import time

from tests.operation_fixture import (
    CALLS_PER_ROUND,
    OperationTestCase,
    RepeatingCaller,
    change_runner,
    request_operator,
    scrape_metrics,
    serve_calls,
    start_callers,
    stop_callers,
    wait_until_ready,
)
from tests.standins import PATIENCE_S, Client, NameServer, Program, eventually

PAUSE_S = 0.1  # of a worker: long enough for its calls to be hedged


class ReplacedProcessTest(OperationTestCase):
    """Calls during handovers and pauses: repeatable ones may be hedged, the others never run twice."""

    def test_two_handovers_under_load_lose_and_repeat_no_call(self) -> None:
        wait_until_ready(self.program)
        port = self.program.port("platform")
        callers = start_callers(port)
        program = self.program
        self.assertEqual(change_runner(program, "s-0", "suspend"), 204)
        # From here on only one worker is left, so no call can be hedged.
        first_rounds = [caller.rounds + 1 for caller in callers]
        for _ in range(2):
            program = self.replace(program, port)
            self.assert_only_cordoned(program, "s-0")
        served = sum(caller.served for caller in callers)
        eventually(
            lambda: sum(caller.served for caller in callers) > served + 50, "calls served by the last process"
        )
        self.assertEqual(stop_callers(callers), [])
        self.assert_no_forbidden_repeats()
        for caller, first in zip(callers, first_rounds, strict=True):
            self.assert_ran_once(caller, first)

    def assert_only_cordoned(self, program: Program, runner: str) -> None:
        """Check that the process has a cordon on this runner only, and reports one runner as down.

        The metric also counts a runner that the dispatcher avoids. On a busy machine that happens for a
        moment to the other worker, when its thread is paused and none of its calls is answered.
        """
        runners = json.loads(request_operator(program, "/v1/runners")[1])["runners"]
        cordoned = {listed["id"]: listed["suspended"] for listed in runners}
        self.assertEqual(cordoned, {"s-0": runner == "s-0", "s-1": runner == "s-1"})
        eventually(lambda: scrape_metrics(program)["svc_hosts_down"] == 1, "one runner to be down")

    def replace(self, program: Program, port: int) -> Program:
        """Start a process on the same port, let it take over from `program`, and return it."""
        successor = self.start_router(port)
        successor.find("(taking over)")
        wait_until_ready(successor)
        program.process.terminate()
        self.assertEqual(program.process.wait(PATIENCE_S), 0)
        program.find("(hands over)")
        successor.find("(n0: alone)")
        return successor

    def assert_ran_once(self, caller: RepeatingCaller, first_round: int) -> None:
        """Check that no call of a caller ran twice from round `first_round` on."""
        counts = self.run_counts()
        rounds = range(first_round, caller.rounds)
        keys = [caller.idempotency_key(number, n) for number in rounds for n in range(CALLS_PER_ROUND)]
        self.assertGreater(len(keys), CALLS_PER_ROUND)
        self.assertEqual([key for key in keys if counts[key] > 1], [])

    def test_only_repeatable_calls_at_paused_worker_are_hedged(self) -> None:
        wait_until_ready(self.program)
        callers = start_callers(self.program.port("platform"))
        eventually(self.pause_workers_in_turn, "a hedged call")
        self.assertEqual(stop_callers(callers), [])
        eventually(lambda: scrape_metrics(self.program)["svc_inflight"] == 0, "the end of all attempts")
        self.assert_no_forbidden_repeats()
        sent = scrape_metrics(self.program)["svc_backend_calls_total"]
        eventually(lambda: sum(self.run_counts().values()) >= sent, "the runs of all attempts")
        self.assertEqual(sum(self.run_counts().values()), sent)

    def pause_workers_in_turn(self) -> list[str]:
        """Pause each worker in turn, and return the keys of the calls that ran more than once."""
        for worker in self.workers:
            worker.pause()
            time.sleep(PAUSE_S)
            worker.resume()
            time.sleep(PAUSE_S)
        return [key for key, count in self.run_counts().items() if count > 1]


class SuccessorTest(OperationTestCase):
    """A process and its successor, side by side."""

    def test_cordon_set_at_either_process_applies_to_both(self) -> None:
        wait_until_ready(self.program)
        successor = self.start_router(self.program.port("platform"))
        wait_until_ready(successor)
        self.assertEqual(change_runner(successor, "s-0", "suspend"), 204)
        eventually(lambda: scrape_metrics(self.program)["svc_hosts_down"] == 1, "the cordon at the first")
        self.assertEqual(change_runner(self.program, "s-0", "resume"), 204)
        eventually(
            lambda: scrape_metrics(successor)["svc_hosts_down"] == 0, "the end of the cordon at the second"
        )

    def test_two_processes_serve_side_by_side_without_a_usable_folder(self) -> None:
        with tempfile.NamedTemporaryFile() as file:
            self.folder = file.name  # a file instead of a folder
            first = self.start_router()
            first.find("(cannot be replaced while it serves)")
            successor = self.start_router(first.port("platform"))
            for program in (first, successor):
                wait_until_ready(program)
                self.assertEqual(change_runner(program, "s-0", "suspend"), 204)  # in force in this process
                self.assertEqual(scrape_metrics(program)["svc_hosts_down"], 1)
            first.process.terminate()
            self.assertEqual(first.process.wait(PATIENCE_S), 0)
            client = Client(successor.port("platform"))
            client.call_until_served("review", b"abc")
            client.close()

    def test_successor_killed_before_it_is_ready_has_no_effect(self) -> None:
        wait_until_ready(self.program)
        client = self.connect()
        client.call_until_served("review", b"abc")  # a new connection has a time limit for its first message
        self.names.lose_queries()
        successor = self.start_router(self.program.port("platform"))
        successor.find("(taking over)")
        self.program.find("(budgets for 2 processes)")
        successor.kill()
        self.program.find("(budgets for 1 processes)")
        self.names.answer_queries()
        client.call_until_served("review", b"abc")
        self.program.process.terminate()  # without a successor, a stop is an ordinary drain
        self.program.find("(asked to stop)")
        other = self.connect()
        other.call_until_served("review", b"abc")
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertFalse([line for line in self.program.log if "hands over" in line])

    def test_stopped_process_serves_until_its_successor_is_ready(self) -> None:
        wait_until_ready(self.program)
        port = self.program.port("platform")
        client = self.connect()
        pending_id = client.call_until_sent(self.program, "test-submit", b"hang:", limit_ms=3_000)
        self.names.lose_queries()
        successor = self.start_router(port)
        successor.find("(taking over)")
        self.program.process.terminate()
        self.program.find("(asked to stop)")
        client.call_until_served("review", b"abc")
        self.names.answer_queries()
        self.program.find("(hands over)")
        other = Client(port)
        other.call_until_served("review", b"abc")
        other.close()
        self.assertEqual((client.read() or {})["id"], pending_id)  # the pending call was answered
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)

    def drain_first_worker(self) -> None:
        """Let the name server tell that the first worker drains, and wait until the router obeys."""
        wait_until_ready(self.program)
        uid, port, _ = self.names.workers[0]
        self.names.serial += 1
        self.names.workers[0] = (uid, port, 1)  # it drains
        client = self.connect()
        eventually(lambda: self.serves_without_first_worker(client), "the drain at the first process")

    def assert_successor_obeys_drain_without_name_server(self) -> None:
        """Replace the process while the name server is silent; the first worker must get no call."""
        self.names.lose_queries()
        successor = self.start_router(self.program.port("platform"))
        wait_until_ready(successor)
        self.program.process.terminate()
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        ran = len(self.workers[0].ran)
        client = Client(successor.port("platform"))
        self.addCleanup(client.close)
        serve_calls(client, 12)
        self.assertEqual(len(self.workers[0].ran), ran)

    def test_successor_of_a_process_with_a_newer_list_calls_no_runner_that_drains_by_it(self) -> None:
        """Guards against calls to a drained runner while the name server is silent during an upgrade."""
        self.drain_first_worker()
        self.assert_successor_obeys_drain_without_name_server()

    def test_successor_knows_the_list_although_discovery_has_moved(self) -> None:
        """Guards against calls to a drained runner, as the shared list still names the earlier server."""
        self.drain_first_worker()
        earlier, self.names = self.names, NameServer()
        self.names.serial, self.names.workers = earlier.serial, list(earlier.workers)
        self.program.reload(lambda text: text.replace(f":{earlier.port}", f":{self.names.port}"))
        earlier.lose_queries()
        eventually(lambda: self.names.queries, "a query to the new server")
        self.assert_successor_obeys_drain_without_name_server()

    def serves_without_first_worker(self, client: Client) -> bool:
        """Make some calls, and return whether the first worker ran none of them."""
        ran = len(self.workers[0].ran)
        serve_calls(client, 6)
        return len(self.workers[0].ran) == ran
