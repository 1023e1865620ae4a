"""Tests of the policy driver, which stores its policy on disk, without a router."""

from pathlib import Path
from typing import Any

import pytest

from maplestile.common.toml_table import ConfigError
from maplestile.control.policy import store
from maplestile.control.policy.document import PolicyError
from maplestile.control.policy.follower import NO_EPOCH
from maplestile.invoke import operator_file as operator
from maplestile.router.policy_driver import monotonic_us
from tests.policy_driver_rig import OPERATOR, PolicyDriverRig


def test_adopted_epoch_is_stored_and_survives_restart(tmp_path: Path) -> None:
    rig = PolicyDriverRig(tmp_path)
    assert rig.driver.not_ready_reason() == "the fleet has not told its policy yet"
    assert rig.announce(0, document=None)["standing"] == "current"
    assert rig.announce(1)["fetch"] is True
    report = rig.announce(1, document=rig.policy(attempts=2))
    assert (report["epoch"], rig.applied[-1].settings.max_attempts, rig.applied[-1].settings.epoch) == (
        1,
        2,
        1,
    )
    assert rig.announce(0, document=None)["epoch"] == 1  # an outdated announcement changes nothing
    assert rig.driver.counters["policy.older"] == 1
    rig.start()
    assert (rig.config.settings.max_attempts, rig.config.settings.epoch) == (2, 1)
    assert not rig.driver.accepts_calls()
    (tmp_path / store.NAME).write_bytes(b"{}")
    rig.start()
    assert rig.driver.follower.epoch == NO_EPOCH


def test_refused_policy_or_failed_write_stops_admission_and_reports_reason(tmp_path: Path) -> None:
    rig = PolicyDriverRig(tmp_path)
    rig.announce(0, document=None)
    report = rig.announce(1, document=rig.policy(newer=1))
    assert (report["standing"], report["epoch"]) == ("refused", 0)
    assert "rules.newer: is not known here" in rig.driver.not_ready_reason()
    assert rig.announce(2, document=rig.policy(attempts=2))["standing"] == "current"
    (tmp_path / f"{store.NAME}.new").mkdir()  # makes the next write fail
    report = rig.announce(3, document=rig.policy(attempts=3))
    assert (report["standing"], report["epoch"]) == ("refused", 2)
    (tmp_path / f"{store.NAME}.new").rmdir()
    assert rig.announce(3, document=rig.policy(attempts=3))["standing"] == "current"
    rig.text = rig.text.replace('class = "review"', 'class = "exam"')  # the stored policy no longer fits
    with pytest.raises(ConfigError):
        rig.start()


def test_reload_ignores_files_policy_and_must_fit_prepared_change(tmp_path: Path) -> None:
    rig = PolicyDriverRig(tmp_path)
    rig.announce(0, document=None)
    config = rig.reload("keep_s = 9.7", "keep_s = 5.0")
    assert config.settings.keep_alive_us == 9_700_000 and rig.driver.counters["policy.reloads_refused"] == 1
    exam = {"name": "exam", "aim_ms": 1, "deadline_ms": 1, "semantics": "safe"}
    document = rig.policy()
    document["class"] = [*document["class"], exam]
    assert rig.check({"change": 4, "document": document})["build"]
    document = {
        **document,
        "class": [call_class for call_class in document["class"] if call_class["name"] != "review"],
    }
    with pytest.raises(PolicyError, match=r"function\[0\].class"):
        rig.check({"change": 5, "document": document})
    prepared = rig.policy()
    prepared["class"] = prepared["class"][:3]
    rig.check({"change": 6, "document": prepared})
    more = '[[function]]\nname = "g"\nclass = "review"\nmemory_mb = 1\n\n[[kind]]'
    assert rig.reload("[[kind]]", more).operator_settings is not None
    rig.announce(1, document=document | {"class": [*prepared["class"], exam]})
    rig.check({"change": 7, "document": prepared})
    with pytest.raises(PolicyError, match=r"change 7\): function\[3\].class: must be one of"):
        rig.reload("[[kind]]", more.replace("review", "exam"))
    rig.announce(1)  # the change was aborted
    assert rig.reload("[[kind]]", more.replace("review", "exam")).operator_settings is not None


@pytest.mark.parametrize(
    "message",
    [
        None,
        3,
        {},
        {"epoch": 1},
        {"epoch": -1, "fenced_us": 0, "checking": 0},
        {"epoch": True, "fenced_us": 0, "checking": 0},
    ],
)
def test_rejects_malformed_announcement_and_names_field(message: object, tmp_path: Path) -> None:
    rig = PolicyDriverRig(tmp_path)
    with pytest.raises(PolicyError, match="must be a whole number"):
        rig.take_announcement(message, lambda answer: None)
    with pytest.raises(PolicyError, match="must be a whole number"):
        rig.check(message)


def test_announcement_during_write_changes_nothing(tmp_path: Path) -> None:
    rig = PolicyDriverRig(tmp_path)
    jobs = list[Any]()
    answers = list[Any]()
    rig.announce(0, document=None)
    rig.driver.run_job = lambda job, on_done: jobs.append((job, on_done))
    announcement = {
        "epoch": 1,
        "fenced_us": monotonic_us(),
        "checking": 0,
        "document": rig.policy(attempts=2),
    }
    rig.take_announcement(announcement, answers.append)
    rig.take_announcement(announcement, answers.append)
    assert [answer["epoch"] for answer in answers] == [0] and len(jobs) == 1
    ((job, on_done),) = jobs
    job()
    rig.reload('name = "keep-result"', 'name = "kept"')  # during the write; the reload must stay applied
    on_done(None)
    assert answers[-1]["epoch"] == 1
    assert (
        rig.applied[-1].operator_settings is not None
        and "kept" in rig.applied[-1].operator_settings.functions
    )


def test_checks_policy_table_of_file(tmp_path: Path) -> None:
    for old, new, place in (
        ("[operation]", "[names]", "policy: needs"),
        ("folder =", "fold =", "policy.folder: is missing"),
        (f'"{tmp_path}"', f'"{tmp_path}"\nstale_s = 0', "policy.stale_s: must be"),
        (f'"{tmp_path}"', f'"{tmp_path}"\nx = 0', "policy.x: is not known here"),
    ):
        text = OPERATOR + f'[policy]\nfolder = "{tmp_path}"\n'
        with pytest.raises(ConfigError, match=place):
            operator.parse(text.replace(old, new))
