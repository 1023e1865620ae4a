"""Rollouts agreed on by three agents with two real routers each, through the fault relay, calls flowing."""

import asyncio
import base64
import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
import unittest
from collections import Counter
from pathlib import Path
from typing import Any

from maplestile.agent import supervisor as agent
from tests.fleet import AGENTS, EACH, FOREVER, ROLLOUT_S, Fleet
from tests.standins import PATIENCE_S, ROOT, eventually

RATE = 40  # calls a second
UNSAFE = "keep-result"  # the function whose calls may not run twice


class Calls:
    """The load tool as a process, at the invoke fronts of a fleet, for so many seconds."""

    def __init__(self, fleet: Fleet, seconds: float) -> None:
        fronts = [f"127.0.0.1:{port}" for port in fleet.invoke]
        options = [
            "--function",
            "score-bangla=3",
            "--function",
            "make-cards",
            "--function",
            UNSAFE,
            "--tenant",
            "shapla-tutors",
            "--rate",
            str(RATE),
            "--seconds",
            str(seconds),
            "--seed",
            "4",
        ]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "maplestile", "load", *fronts, *options], stdout=subprocess.PIPE, cwd=ROOT
        )
        fleet.test.addCleanup(self._end)

    def _end(self) -> None:
        self.process.kill()
        self.process.communicate()

    def result(self) -> dict[str, Any]:
        result: dict[str, Any] = json.loads(self.process.communicate(timeout=60)[0])
        return result


class FleetTest(unittest.TestCase):
    step_s = 30.0
    toy = False

    def setUp(self) -> None:
        self.fleet = Fleet(self, self.step_s, self.toy)
        self.fleet.until_whole()

    def start(self, number: int, *words: str) -> None:
        code, _, err = self.fleet.run(number, "rollout", "start", *words)
        self.assertEqual((code, err), (0, ""))

    def agents(self, *besides: int) -> list[int]:
        return [n for n in range(AGENTS) if n not in besides]

    def assert_within_budget(self, budget: int) -> None:
        """Never more out than the budget, by the logs and by what the log of Raft holds."""
        self.assertLessEqual(self.fleet.worst_out(), budget)
        self.assertGreater(self.fleet.worst_out(), 0)

    def no_call_lost_or_run_twice(self, result: dict[str, Any]) -> None:
        self.assertLessEqual(set(result["ends"]), {"served", "refused"}, result)
        self.assertGreater(result["served_share"], 0.9)
        # A safe call may go out twice, such as when its worker is late on a busy machine; this one never.
        ran = [call for worker in self.fleet.workers for call in worker.ran if call["head"]["key"] == UNSAFE]
        self.assertGreater(len(ran), 10)
        twice = Counter(call["call"] for call in ran)
        self.assertEqual([call for call, count in twice.items() if count > 1], [])

    def theirs(self, agents: list[int]) -> set[str]:
        return {name for number in agents for name in self.fleet.of(number)}

    def status(self) -> dict[str, Any]:
        """The rollout as the first agent's replica has it; that may be a little behind its start."""
        return self.fleet.status(0).get("rollout") or {"done": []}

    def hang(self, number: int) -> "HangingCall":
        hung = HangingCall(self.fleet.invoke[number])
        eventually(
            lambda: any(
                b"hang" in worker_bytes(call) for worker in self.fleet.workers for call in worker.ran
            ),
            "the call that hangs",
        )
        return hung

    def events_named(self, name: str) -> list[dict[str, Any]]:
        return [event for event in self.fleet.events() if event["event"] == name]

    def until_event(self, name: str, instance: str = "") -> None:
        def is_seen() -> bool:
            return any(instance in ("", event["instance"]) for event in self.events_named(name))

        eventually(is_seen, f"{name} {instance}")

    @staticmethod
    def kill(pid: int) -> None:
        with contextlib.suppress(ProcessLookupError):  # it was asked to end before its agent died
            os.kill(pid, signal.SIGKILL)

    def until_none_out(self, number: int) -> None:
        """By the replica of that agent, which may be a little behind what it was answered."""
        eventually(lambda: self.fleet.status(number)["leases"] == [], "no lease")


class RolloutTest(FleetTest):
    def test_all_are_restarted_under_load_within_the_budget(self) -> None:
        pids = {name: self.fleet.pid(name) for name in self.fleet.names}
        calls = Calls(self.fleet, 10)
        self.start(1, "--budget", "2")
        self.fleet.until_phase(2, "done")
        self.assert_within_budget(2)
        self.no_call_lost_or_run_twice(calls.result())
        after = {name: self.fleet.pid(name) for name in self.fleet.names}
        self.assertTrue(all(after[name] != pids[name] for name in pids))
        self.assertEqual(
            sorted(event["instance"] for event in self.events_named("drained")), self.fleet.names
        )

    def test_of_two_operators_at_once_one_wins_and_the_other_hears_why(self) -> None:
        answers = list[dict[str, Any]]()

        def start(number: int) -> None:
            where, command = ("127.0.0.1", self.fleet.listens[number]), {"action": "restart", "budget": 1}
            sending = agent.ask(where, "rollout", [], what="start", command={**command, "targets": ["r0"]})
            answers.append(asyncio.run(sending))

        threads = [threading.Thread(target=start, args=(number,)) for number in (0, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(PATIENCE_S)
        refused = [answer["error"] for answer in answers if "error" in answer]
        self.assertEqual((len(answers), len(refused)), (2, 1))
        self.assertIn("is running: it has to end, or be undone, first", refused[0])
        self.fleet.until_phase(1, "done")
        self.assertEqual(len(self.events_named("operator start")), 1)
        for words, reason in (
            (("start", "--budget", "2", "r9"), "unknown instance: r9"),
            (("start", "--budget", "none"), "budget: must be a count"),
            (("start", "--budget", "0%"), "budget: 0% is not"),
            (("start", "--action", "drain", "--budget", "1", "r0", "r1"), "a drain leaves 2 out"),
            (("halt",), "is done"),
            (("release", "r0"), "'r0' is not out"),
        ):
            code, _, err = self.fleet.run(0, "rollout", *words)
            self.assertEqual(code, 1)
            self.assertIn(reason, err)
        self.until_none_out(0)  # nothing half done

    def test_a_drain_is_halted_and_undone_in_reverse_order_under_load(self) -> None:
        self.hang(4)  # the drain of r4 takes as long as this call, so that the halt comes in the midst
        calls = Calls(self.fleet, 10)
        self.start(0, "--action", "drain", "--budget", "3", "r1", "r2", "r4")
        eventually(lambda: len(self.status()["done"]) >= 1, "a drained router")
        self.assertEqual(self.fleet.run(1, "rollout", "halt", "--reason", "a look")[0], 0)
        halted_us = time.monotonic_ns() // 1000
        eventually(
            lambda: all(lease["stage"] == "out" for lease in self.fleet.status(2)["leases"]),
            "what was under way to finish",
        )
        time.sleep(1.5)
        late = [
            event
            for event in self.fleet.events()
            if event["event"] == "begin" and event["t_us"] > halted_us + 1_000_000
        ]
        self.assertEqual(late, [])
        done = self.status()["done"]
        self.assertEqual(self.fleet.run(2, "rollout", "undo")[0], 0)
        self.fleet.until_phase(0, "undone")
        eventually(lambda: len(self.events_named("back")) == len(done), "the events of their returns")
        self.assertEqual([event["instance"] for event in self.events_named("back")], list(reversed(done)))
        self.assert_within_budget(3)
        self.no_call_lost_or_run_twice(calls.result())
        self.assertEqual(self.fleet.run(0, "ready")[0], 0)

    def test_a_halt_that_crosses_a_granted_step_leaves_its_router_alone(self) -> None:
        """The holder stands still from before the grant till after the halt, and then reads of both."""
        number = next(n for n in self.agents() if n != self.fleet.leader())
        name, peer = self.fleet.of(number)[0], (number + 1) % AGENTS
        pid, holder = self.fleet.pid(name), self.fleet.agents[number].process
        holder.send_signal(signal.SIGSTOP)
        try:
            self.start(peer, "--budget", "3", name)
            eventually(
                lambda: (
                    [(one["instance"], one["stage"]) for one in self.fleet.status(peer)["leases"]]
                    == [(name, "granted")]
                ),
                "the grant",
            )
            self.assertEqual(self.fleet.run(peer, "rollout", "halt", "--reason", "a look")[0], 0)
            self.until_none_out(peer)
        finally:
            holder.send_signal(signal.SIGCONT)
        eventually(lambda: self.fleet.phase(number) == "halted", "the holder to know of the halt")
        time.sleep(1.0)
        self.assertEqual((self.events_named("begin"), self.fleet.pid(name)), ([], pid))
        self.assertEqual(self.fleet.run(peer, "rollout", "resume")[0], 0)
        self.fleet.until_phase(peer, "done")
        self.assertNotEqual(self.fleet.pid(name), pid)
        self.assert_within_budget(3)

    def test_with_the_leaders_machine_lost_the_others_go_on_and_it_is_made_up_for(self) -> None:
        leader = self.fleet.leader()
        assert leader is not None
        others = self.agents(leader)
        self.start(others[0], "--budget", "3")
        self.until_event("begin")
        lost = self.fleet.agents[leader]
        orphans = self.fleet.routers_of(lost)
        lost.process.kill()
        for pid in orphans:  # a whole machine
            self.kill(pid)
        theirs = self.theirs(others)
        eventually(
            lambda: theirs <= set(self.fleet.status(others[0])["rollout"]["done"]), "the others", ROLLOUT_S
        )
        self.assertLessEqual(self.fleet.worst_out(), 3)
        lost.process.wait()
        log = list(lost.log)
        self.fleet.agents[leader] = self.fleet.start(leader)
        self.fleet.agents[leader].log[:0] = log
        self.fleet.until_phase(others[1], "done")
        self.until_none_out(leader)

    def test_a_split_with_the_leader_on_the_small_side_starts_nothing_there(self) -> None:
        leader = self.fleet.leader()
        assert leader is not None
        others = self.agents(leader)
        calls = Calls(self.fleet, 10)
        self.start(others[0], "--budget", "3")
        self.until_event("begin")
        small = [leader * EACH, leader * EACH + 1, len(self.fleet.names) + leader]
        self.fleet.relay.begin(split=[{**FOREVER, "sides": [small]}])
        split_us = time.monotonic_ns() // 1000
        eventually(lambda: self.fleet.leader(others) is not None, "a leader on the large side")
        theirs = self.theirs(others)
        eventually(
            lambda: theirs <= set(self.fleet.status(others[0])["rollout"]["done"]), "the others", ROLLOUT_S
        )
        code, _, err = self.fleet.run(leader, "rollout", "halt")
        self.assertEqual(code, 1)
        self.assertIn("it was not taken", err)  # and so it must not take effect at the healing
        begun = [
            event["instance"]
            for event in self.fleet.events()
            if event["event"] == "begin" and event["t_us"] > split_us + 1_000_000
        ]
        self.assertLessEqual(set(begun), theirs)
        self.fleet.relay.ask("heal")
        self.fleet.until_phase(leader, "done")
        self.assert_within_budget(3)
        self.no_call_lost_or_run_twice(calls.result())

    def test_a_fifth_of_all_messages_lost_delays_a_rollout_and_breaks_nothing(self) -> None:
        calls = Calls(self.fleet, 10)
        self.fleet.relay.begin(net={"loss": 0.2})
        eventually(lambda: self.fleet.run(0, "rollout", "start", "--budget", "2")[0] == 0, "the start")
        eventually(lambda: self.fleet.phase(0) in ("done", "halted"), "an end", ROLLOUT_S)
        if self.fleet.phase(0) == "halted":  # it saw an outage that was none, which an operator may judge
            self.fleet.relay.ask("heal")
            self.fleet.run(0, "rollout", "resume")
            self.fleet.until_phase(0, "done")
        self.assert_within_budget(2)
        self.no_call_lost_or_run_twice(calls.result())


class DamagedTest(FleetTest):
    """A voter whose journal was cut, or overwritten: it takes no part, and says why."""

    def test_damaged_journal_is_refused_with_its_place_and_spoils_nothing_for_the_others(self) -> None:
        number = next(n for n in self.agents() if n != self.fleet.leader())
        others = self.agents(number)
        self.start(others[0], "r0")
        self.fleet.until_phase(others[0], "done")
        file = self.fleet.folder / f"a{number}" / "journal"
        self.assertEqual(self.fleet.agents[number].stop(), 0)
        whole = file.read_bytes()
        for content in (whole[:2000], os.urandom(5000), whole[:40] + b"\xff" * 200 + whole[240:]):
            file.write_bytes(content)
            self.fleet.agents[number] = self.fleet.start(number)
            eventually(lambda: self.fleet.run(number, "ready")[0] == 0, "its routers")
            code, _, err = self.fleet.run(number, "rollout", "status")
            self.assertEqual(code, 1)
            self.assertIn(f"it does not run: {file}", err)
            self.assertEqual(self.fleet.phase(others[1]), "done")
            self.assertEqual(self.fleet.agents[number].stop(), 0)
            self.assertEqual(file.read_bytes(), content)
        file.write_bytes(whole)
        self.fleet.agents[number] = self.fleet.start(number)
        self.fleet.until_whole()
        self.start(number, "r1", "--budget", "2")
        self.fleet.until_phase(others[0], "done")
        self.assertEqual(len(self.fleet.status(number)["history"]), 1)


class NonVoterTest(FleetTest):
    """An agent without a vote takes part through those that have one."""

    def test_its_router_is_replaced_and_restored_through_the_voters(self) -> None:
        agent, _ = self.fleet.start_non_voter()
        eventually(lambda: "r6" in self.fleet.status(0)["instances"], "its router known to all")
        eventually(lambda: self.fleet.run(3, "ready")[0] == 0, "its router ready")
        self.assertEqual(self.release(), "one")
        agent.file.write_text(agent.file.read_text().replace("one", "two"))
        self.start(3, "--action", "replace", "--budget", "2", "r6", "r1")
        self.fleet.until_phase(3, "done")
        self.assertEqual(self.release(), "two")
        self.assertEqual(self.fleet.run(3, "rollout", "undo")[0], 0)
        self.fleet.until_phase(3, "undone")
        self.assertEqual(self.release(), "one")
        self.until_none_out(0)
        self.assert_within_budget(2)

    def release(self) -> str:
        """What the environment of r6 says, as its agent's file had it at its start."""
        pid = self.fleet.command(3, "status", "r6")[0]["instances"]["r6"]["pid"]
        environment = Path(f"/proc/{pid}/environ").read_bytes().decode().split("\0")
        return next(entry for entry in environment if entry.startswith("RELEASE=")).partition("=")[2]


class StuckTest(FleetTest):
    """Steps that take longer than they may."""

    step_s = 8.0

    def test_a_router_that_stands_still_in_its_drain_is_not_called_drained(self) -> None:
        pid = self.fleet.pid("r0")
        hung = self.hang(0)
        self.start(1, "--budget", "1", "r0", "r3")
        self.until_event("begin")
        os.kill(pid, signal.SIGSTOP)
        try:
            self.fleet.until_phase(1, "halted")
            rollout = self.fleet.status(1)["rollout"]
            self.assertIn("r0 takes over", rollout["reason"])
            self.assertNotIn("drained", [event["event"] for event in self.fleet.events()])
            eventually(lambda: [one["instance"] for one in self.fleet.status(2)["leases"]] == ["r0"], "r0")
        finally:
            os.kill(pid, signal.SIGCONT)
        self.until_none_out(1)  # after its drain, its end and its return
        self.assertTrue(hung.answered.wait(PATIENCE_S))
        self.assertEqual(self.fleet.run(2, "rollout", "resume")[0], 0)
        self.fleet.until_phase(0, "done")
        self.assert_within_budget(1)

    def test_an_agent_that_dies_with_a_lease_keeps_it_until_an_operator_releases_it(self) -> None:
        number = next(n for n in self.agents() if n != self.fleet.leader())
        name, other = f"r{number * EACH}", f"r{(number + 1) % AGENTS * EACH}"
        self.hang(number * EACH)
        self.start((number + 1) % AGENTS, "--budget", "3", name, other)
        self.until_event("begin", name)
        orphans = self.fleet.routers_of(self.fleet.agents[number])
        self.fleet.agents[number].process.kill()
        peer = (number + 1) % AGENTS
        self.fleet.until_phase(peer, "halted")
        held = [lease["instance"] for lease in self.fleet.status(peer)["leases"]]
        self.assertEqual(held, [name])
        self.assertEqual(self.fleet.run(peer, "rollout", "release", name)[0], 0)
        self.until_none_out(peer)
        for pid in orphans:
            self.kill(pid)
        self.fleet.agents[number].process.wait()
        self.fleet.agents[number] = self.fleet.start(number)
        eventually(lambda: self.fleet.run(number, "ready")[0] == 0, "the agent and its routers back")
        self.fleet.run(peer, "rollout", "resume")
        self.fleet.until_phase(peer, "done")


class RunnerTest(FleetTest):
    """Runners taken out at all routers, one of them a process of the first agent."""

    toy = True

    def test_a_runner_is_drained_at_all_routers_and_undone_under_load(self) -> None:
        eventually(lambda: self.fleet.status(0)["runners"] == {"w1": "", "w2": "a0"}, "the runners")
        code, _, err = self.fleet.run(1, "rollout", "start", "--runners", "--budget", "1", "w1")
        self.assertEqual((code, "no agent manages w1" in err), (1, True))
        calls = Calls(self.fleet, 12)
        eventually(lambda: self.calls() > 10, "calls there")
        self.start(1, "--runners", "--action", "drain", "--budget", "1", "w1")
        self.until_event("begin", "w1")
        self.fleet.until_phase(2, "done")
        eventually(lambda: len(self.events_named("out")) == AGENTS, "the reports of all agents")
        out = self.events_named("out")
        # All routers were notified before the last agent said so, and the rule gives them two seconds.
        time.sleep(max(0.0, 2.0 - (time.monotonic() - out[-1]["t_us"] / 1e6)))
        before = self.calls()
        time.sleep(1.0)
        self.assertEqual(self.calls(), before)
        # A router that is started anew does not know of it, and is notified at once.
        self.assertEqual(self.fleet.run(0, "restart", "r0")[0], 0)
        eventually(lambda: self.fleet.run(0, "ready", "r0")[0] == 0, "r0 back")
        time.sleep(2.0)
        before = self.calls()
        time.sleep(1.0)
        self.assertEqual(self.calls(), before)
        self.assertEqual(self.fleet.run(0, "rollout", "undo")[0], 0)
        self.fleet.until_phase(1, "undone")
        result = calls.result()
        self.assertLessEqual(set(result["ends"]), {"served", "refused"}, result)
        eventually(lambda: self.called_again(before), "calls there again")

    def test_a_runner_is_restarted_while_no_router_uses_it(self) -> None:
        eventually(lambda: self.fleet.status(0)["runners"] == {"w1": "", "w2": "a0"}, "the runners")
        pid = self.pid()
        calls = Calls(self.fleet, 8)
        self.start(2, "--runners", "--budget", "1", "w2")
        self.fleet.until_phase(1, "done")
        self.assertNotEqual(self.pid(), pid)
        eventually(lambda: len(self.events_named("in")) == AGENTS, "the reports of all agents")
        order = [event["event"] for event in self.fleet.events() if event.get("instance") == "w2"]
        self.assertEqual(
            [e for e in order if e in ("out", "renewed", "in")],
            AGENTS * ["out"] + ["renewed"] + AGENTS * ["in"],
        )
        result = calls.result()
        self.assertLessEqual(set(result["ends"]), {"served", "refused"}, result)

    def pid(self) -> int:
        return int(self.fleet.command(0, "status", "w2")[0]["instances"]["w2"]["pid"])

    def calls(self) -> int:
        return sum(line["kind"] == "CALL" for line in list(self.fleet.workers[0].lines))

    def called_again(self, before: int) -> bool:
        client = HangingCall(self.fleet.invoke[3], b"again:")
        client.join(PATIENCE_S)
        return self.calls() > before


def worker_bytes(call: dict[str, Any]) -> bytes:
    return base64.b64decode(call["bytes"])


class HangingCall(threading.Thread):
    """A call, and for most that its worker never answers: its router owes an answer until its deadline."""

    def __init__(self, port: int, body: bytes = b"hang:") -> None:
        super().__init__(daemon=True)
        self.port = port
        self.body = body
        self.answered = threading.Event()
        self.start()

    def run(self) -> None:
        link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=PATIENCE_S)
        headers = {"Maplestile-Tenant": "shapla-tutors", "Maplestile-Deadline-Ms": "5000"}
        with contextlib.suppress(OSError, http.client.HTTPException):  # where a test kills its router
            link.request("POST", "/v1/functions/score-bangla/invocations", self.body, headers)
            link.getresponse().read()
            self.answered.set()


if __name__ == "__main__":
    unittest.main()
