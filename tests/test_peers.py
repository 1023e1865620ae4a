"""Membership on the model's virtual clock: the same `Swim` that the program ships, with faults between."""

import unittest
from typing import Any

from maplestile.faults.schedule import ScheduleError
from maplestile.model.experiment import parse
from maplestile.model.report import as_csv, as_json
from maplestile.model.run import run
from maplestile.peers import duties
from maplestile.peers.messages import DatagramError, Entry, Message, decode, encode
from maplestile.peers.swim import Swim
from maplestile.peers.tuning import Tuning

Figures = dict[str, float | None]


def model(members: int = 10, seconds: int = 60, **more: Any) -> Figures:
    return run(parse({"seed": 5, "members": members, "duration_s": seconds, **more}))[0]


class DetectionTest(unittest.TestCase):
    def test_a_killed_member_is_declared_dead_by_all_within_the_bound(self) -> None:
        figures = model(kill=[{"at_s": 10, "member": 3}])
        self.assertEqual(figures["undetected"], 0)
        # A round of probes, then a suspicion of at most 24 periods shortened by confirmations.
        self.assertLess(figures["detection_p99_periods"] or 99, 26)
        self.assertEqual(figures["false_positives"], 0)

    def test_heavy_loss_declares_no_live_member_dead(self) -> None:
        figures = model(seconds=120, net={"loss": 0.2})
        self.assertEqual(figures["false_positives"], 0)

    def test_a_pause_under_the_suspicion_is_refuted(self) -> None:
        figures = model(pause=[{"at_s": 10, "for_s": 1.5, "member": 2}])
        self.assertEqual(figures["false_positives"], 0)
        self.assertEqual(figures["ever_isolated"], 0)

    def test_one_direction_cut_declares_nobody_dead(self) -> None:
        figures = model(cut=[{"at_s": 5, "until_s": 40, "from": [0], "to": [1]}])
        self.assertEqual(figures["false_positives"], 0)


class SplitTest(unittest.TestCase):
    def test_the_small_side_calls_itself_isolated_and_views_converge_after_healing(self) -> None:
        split = {"at_s": 10, "until_s": 50, "sides": [[0, 1, 2, 3], [4, 5, 6, 7, 8, 9]]}
        figures = model(seconds=90, split=[split])
        self.assertEqual(figures["ever_isolated"], 4)
        self.assertEqual(figures["isolated_at_end"], 0)
        self.assertEqual(figures["not_converged"], 0)
        self.assertLess(figures["converged_after_heal_s"] or 99, 15)
        # The healing's full exchanges carry the other side's old deaths: taken as such, they were 27 here.
        self.assertEqual(figures["false_positives"], 0)


class ModelTest(unittest.TestCase):
    def test_the_same_file_and_seed_give_the_same_figures(self) -> None:
        told: dict[str, Any] = {"net": {"loss": 0.05}, "kill": [{"at_s": 5, "member": 1}]}
        self.assertEqual(as_json(model(seconds=20, **told)), as_json(model(seconds=20, **told)))
        self.assertIn("detection_median_periods,", as_csv(model(seconds=5)))

    def test_a_bad_file_names_the_field(self) -> None:
        for told, place in (
            ({"members": 5, "duration_s": 1}, "seed"),
            ({"seed": 1, "members": 1, "duration_s": 1}, "members"),
            ({"seed": 1, "members": 5, "duration_s": 1, "kill": [{"at_s": "x", "member": 1}]},
             "kill[0].at_s"),
            ({"seed": 1, "members": 5, "duration_s": 1, "split": [{"at_s": 1, "until_s": 2, "sides": [[9]]}]},
             "split[0].sides"),
            ({"seed": 1, "members": 5, "duration_s": 1, "net": {"los": 0.1}}, "net.los"),
        ):  # fmt: skip
            with self.assertRaisesRegex(ScheduleError, f"^{place.replace('[', '.').replace(']', '.')}"):
                parse(told)


class WireTest(unittest.TestCase):
    def test_a_message_goes_whole_there_and_back(self) -> None:
        entry = Entry("suspect", "r2", ("127.0.0.1", 7001), 3, "r1")
        sent = Message("req", 9, "r1", "r2", ("127.0.0.1", 7001), ("127.0.0.1", 7000), [entry])
        self.assertEqual(decode(encode(sent)), sent)

    def test_a_bad_datagram_is_refused_with_its_place(self) -> None:
        good = encode(Message("ping", 1, "r1", "r2", reply_to=("127.0.0.1", 1)))
        for datagram, place in (
            (b"\xc1", "datagram"), (b"\x93\x01\x02\x03", "datagram"), (good[:-3], "datagram"),
            (good.replace(b"ping", b"pong"), "k"),
            (encode(Message("ping", 1, "r1", "r2", reply_to=("127.0.0.1", 1),
                            gossip=[Entry("gone", "r3", ("h", 1), 0, "r1")])), r"g\[0\]\[0\]"),
        ):  # fmt: skip
            with self.assertRaisesRegex(DatagramError, f"^{place}"):
                decode(datagram)


class DutiesTest(unittest.TestCase):
    def test_a_member_that_ends_moves_only_its_own_duties(self) -> None:
        tasks = [f"probe-{n}" for n in range(200)]
        members = [f"r{n}" for n in range(5)]
        before = {task: duties.owner(task, members) for task in tasks}
        after = {task: duties.owner(task, members[:2] + members[3:]) for task in tasks}
        moved = [task for task in tasks if before[task] != after[task]]
        self.assertEqual(set(moved), {task for task in tasks if before[task] == "r2"})
        self.assertTrue(20 < len(moved) < 60)

    def test_shares_count_what_is_taken_over_and_what_is_done_twice(self) -> None:
        shares = duties.Shares("r0")
        tasks = [f"probe-{n}" for n in range(100)]
        everyone = ["r0", "r1", "r2"]
        first = shares.judge(tasks, everyone, everyone)
        alone = shares.judge(tasks, ["r0"], everyone)
        self.assertEqual(alone, frozenset(tasks))
        self.assertEqual(shares.taken_over, 100 - len(first))
        self.assertEqual(shares.overlap, 100 - len(first))
        self.assertEqual(shares.judge(tasks, everyone, everyone), first)
        self.assertEqual(shares.given_up, 100 - len(first))


if __name__ == "__main__":
    unittest.main()


class JoinTest(unittest.TestCase):
    def test_a_joiner_is_learned_by_all_also_where_the_seeds_word_of_it_died_out(self) -> None:
        tuning = Tuning(period_us=100_000, ack_us=40_000)
        swims = {n: Swim(f"r{n}", ("h", n), tuning, n, 0) for n in range(3)}
        swims[1].join([("h", 0)], 0)
        swims[2].join([("h", 0)], 0)
        now = 0
        for _ in range(400):  # 40 periods of 100 ms, every datagram delivered at once
            now += 10_000
            for swim in swims.values():
                swim.tick(now)
            while any(swim.outbox for swim in swims.values()):
                for swim in swims.values():
                    outbox, swim.outbox = swim.outbox, []
                    for to, message in outbox:
                        swims[to[1]].receive(message, now)
                    if now == 10_000:
                        swims[0].rumours.clear()  # the seed's word of the joiners dies out before it spread
        self.assertEqual([swim.live() for swim in swims.values()], [["r0", "r1", "r2"]] * 3)
