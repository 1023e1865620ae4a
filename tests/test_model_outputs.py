"""Tests that the model's output for a file and seed still has the recorded digest."""

import contextlib
import hashlib
import io
from pathlib import Path

import pytest

from maplestile.tools.cli import main

DIGEST_LENGTH = 16  # hexadecimal digits of SHA-256
THREE_SEEDS = ("--seeds", "3", "--format", "csv")

MEMBERSHIP = """
seed = 5
members = 8
duration_s = 20
duties = 6
net = { loss = 0.05, delay_ms = 1, jitter_ms = 2 }
kill = [{ at_s = 5, member = 3 }]
split = [{ at_s = 8, until_s = 13, sides = [[0, 1]] }]
"""

POLICY = """
kind = "policy"
seed = 3
routers = 30
agents = 5
changes = 8
loss = 0.2
refuse = 0.5
cut = [{ at_s = 4, for_s = 8, agent = 3 }]
down = [{ at_s = 6, for_s = 5, router = 17 }, { at_s = 9, for_s = 1, router = 2 }]
"""

POLICY_WITHOUT_CALLS = """
kind = "policy"
seed = 9
routers = 12
changes = 2
rate = 0
duration_s = 9
replica_ms = 2000
"""

POLICY_WITHOUT_CHANGES = """
kind = "policy"
seed = 9
routers = 1
agents = 1
changes = 1
duration_s = 1
"""

ROLLOUT = """
kind = "rollout"
seed = 4
instances = 20
agents = 4
action = "replace"
budget = "20%"
stuck = 0.2
stuck_s = 70
halt_at_s = 2
outage = [
    { at_s = 3, for_s = 15, instance = 7 },
    { at_s = 3, for_s = 15, instance = 9 },
    { at_s = 3, for_s = 15, instance = 11 },
]
election = [{ at_s = 8, for_s = 1.2 }]
"""

ROLLOUT_CUT_SHORT = """
kind = "rollout"
seed = 8
instances = 6
duration_s = 3
"""


@pytest.mark.parametrize(
    ("experiment", "options", "digest"),
    [
        pytest.param(MEMBERSHIP, (), "93ec9d392638b754", id="membership"),
        pytest.param(MEMBERSHIP, THREE_SEEDS, "f6f6f198fd27f9e6", id="membership, three seeds"),
        pytest.param(POLICY, (), "b4321e3e1f7c6302", id="policy"),
        pytest.param(POLICY, THREE_SEEDS, "352161a88c120fc3", id="policy, three seeds"),
        pytest.param(POLICY_WITHOUT_CALLS, (), "8f066d2f08b6e280", id="policy without calls"),
        pytest.param(POLICY_WITHOUT_CHANGES, (), "55807d788bd61900", id="policy without changes"),
        pytest.param(ROLLOUT, (), "b11feea14249a6c7", id="rollout"),
        pytest.param(ROLLOUT, THREE_SEEDS, "1abd772118f25459", id="rollout, three seeds"),
        pytest.param(ROLLOUT_CUT_SHORT, (), "ba84788773f60203", id="rollout cut short"),
    ],
)
def test_output_matches_recorded_digest(
    experiment: str, options: tuple[str, ...], digest: str, tmp_path: Path
) -> None:
    file = tmp_path / "experiment.toml"
    file.write_text(experiment)
    with contextlib.redirect_stdout(io.StringIO()) as output:
        assert main(["model", str(file), *options]) == 0
    whole_digest = hashlib.sha256(output.getvalue().encode()).hexdigest()
    assert whole_digest[:DIGEST_LENGTH] == digest, output.getvalue()
