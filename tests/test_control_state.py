"""Tests of rollouts of routers in the replicated state, without I/O."""

import unittest

from maplestile.common.errors import CommandRejected
from maplestile.control.state import ControlState, Phase, Stage, parse_budget
from tests.control_rig import ControlRig


class StateTest(unittest.TestCase):
    """Tests of accepted and rejected commands about routers."""

    def test_rejects_commands_based_on_outdated_state(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="restart", targets=["r0", "r1"], budget=1)
        number = rig.control.number
        grant = {"instance": "r0", "down": [], "after": number, "term": 1, "rollout": number}
        rig.accept("grant", **grant)
        lease = rig.lease_fields("r0")
        for do, fields, reason in (
            ("grant", grant, "something else was granted"),
            ("grant", {**grant, "instance": "r1", "after": number + 1}, "2 would be out"),
            ("grant", {**grant, "instance": "r1", "after": number + 1, "rollout": 99}, "the rollout is 1"),
            ("begin", {**lease, "agent": "a1"}, "a1 holds no lease"),
            ("back", lease, "is granted"),
            ("begin", {**lease, "lease": 99}, "holds no lease 99"),
            ("register", {"agent": "a9", "instances": ["r0"]}, "is managed by a0"),
            ("dance", {}, "no command"),
            ("grant", {"instance": "r1"}, "damaged command"),
        ):
            before = rig.control.encoded()
            reply = rig.submit(do, **fields)
            self.assertFalse(reply["ok"])
            self.assertIn(reason, reply["reason"])
            self.assertEqual(rig.control.encoded(), before)
        rig.accept("halt", reason="look")
        self.assertFalse(rig.submit("begin", **lease)["ok"])  # the halt has withdrawn the lease
        rig.accept("resume")
        rig.accept("grant", **{**grant, "after": rig.control.number})
        rig.accept("begin", **rig.lease_fields("r0"))
        self.assertIn("is begun", rig.submit("begin", **rig.lease_fields("r0"))["reason"])

    def test_drained_routers_stay_out_and_undo_brings_them_back_in_reverse_order(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="drain", targets=["r0", "r2"], budget=2)
        for name in ("r0", "r2"):
            rig.apply_next_command()
            rig.run_step(name, "out")
        assert rig.control.rollout is not None
        self.assertIs(rig.control.rollout.phase, Phase.DONE)
        self.assertEqual({lease.stage for lease in rig.control.leases.values()}, {Stage.OUT})
        self.assertFalse(rig.submit("start", action="restart", targets=["r1"], budget=2)["ok"])
        rig.accept("undo")
        for name in ("r2", "r0"):
            # An undo grants a lease for an instance that is already out, so it uses no further budget.
            self.assertEqual((rig.apply_next_command() or {})["instance"], name)
            self.assertIsNone(rig.apply_next_command())
            rig.run_step(name)
        self.assertIs(rig.control.rollout.phase, Phase.UNDONE)
        self.assertEqual(rig.control.leases, {})

    def test_converts_budget_to_count_or_rejects_it(self) -> None:
        for budget, expected in ((2, 2), ("3", 3), ("25%", 2), ("1%", 1), ("100%", 10)):
            self.assertEqual(parse_budget(budget, 10), expected)
        for invalid in (0, -1, True, None, "x", "0%", "101%", 1.5, "-2"):
            with self.assertRaises(CommandRejected):
                parse_budget(invalid, 10)

    def test_state_survives_encoding_and_decoding(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="drain", targets=["r0"], budget=1)
        rig.apply_next_command()
        rig.run_step("r0", "out")
        rig.accept("undo")
        self.assertEqual(ControlState.decode(rig.control.encoded()).encoded(), rig.control.encoded())


if __name__ == "__main__":
    unittest.main()
