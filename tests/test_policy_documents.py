"""Tests of policy documents, their record on disk, and the dispatcher's change to another policy."""

import tempfile
from pathlib import Path
from typing import Any

import pytest

from maplestile.common.toml_table import ConfigError
from maplestile.control.policy import store
from maplestile.control.policy.document import DOCUMENT_BYTES, AdoptedPolicy, Document, PolicyError
from maplestile.dispatch import api
from maplestile.invoke import operator_file as operator
from maplestile.tools.policy_command import load_policy
from tests.helpers import MS, Driver, arrival, ended, entry, sends, settings
from tests.standins import ROOT

SECOND_US = 1_000_000
OPERATOR = (ROOT / "deploy" / "operator.toml").read_text()
ONE_ATTEMPT: dict[str, Any] = {"rules": {"attempts": 1}}


def test_document_replaces_whole_policy_of_file() -> None:
    text = OPERATOR.replace("[rules]", '[policy]\nfolder = "x"\n[rules]')
    tables = operator.parse_tables(text)
    document = Document.from_tables(
        {"rules": {"attempts": 2}, "class": tables["class"], "limits": {"records": 7}}
    )
    config = operator.settings_from_tables(tables, AdoptedPolicy(4, document))
    assert (config.epoch, config.records, config.node["settings"]["limits"]["attemptsCap"]) == (4, 7, 2)
    # The default applies, not the file's 9.7 s.
    assert config.node["settings"]["familyInfo"]["lingerIdleUs"] == 10_000_000
    bare = operator.settings_from_tables(
        tables, AdoptedPolicy(4, Document.from_tables({"class": tables["class"]}))
    )
    assert bare.node["settings"]["familyInfo"]["lingerIdleUs"] == 10_000_000
    assert config.node["settings"]["limits"]["maxOpen"] == 2000 and config.body_bytes == 16384
    with pytest.raises(ConfigError, match=r"function\[0\].class: must be one of other"):
        other = {"name": "other", "aim_ms": 1, "deadline_ms": 1, "semantics": "safe"}
        operator.settings_from_tables(tables, AdoptedPolicy(4, Document.from_tables({"class": [other]})))
    assert Document.from_file(tables).applied_to(tables) == tables | {"limits": tables["limits"]}


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("[rules]\nattempts = 0", "rules.attempts: must be 1 or more"),
        ("[rules]\nattemps = 1", "rules.attemps: is not known here"),
        ("[limits]\nsockets = 100", "limits.sockets: is no part of policy"),
        ('[invoke]\nlisten = "127.0.0.1:1"', "invoke: is no part of policy"),
        ("rules = 3", "rules: must be a table"),
        ("limits = 3", "limits: must be a table"),
        ("class = 3", "class: at least one"),
        ("[rules]\nkeep_s = 1979-05-27", "policy: has a value of no use"),
        ("[rules", "no TOML"),
        ("", "class: at least one"),
    ],
)
def test_rejects_invalid_policy_file_naming_field(text: str, place: str, tmp_path: Path) -> None:
    class_table = '\n[[class]]\nname = "c"\naim_ms = 1\ndeadline_ms = 1\nsemantics = "safe"\n'
    file = tmp_path / "policy.toml"
    file.write_text(text + (class_table if text and "class" not in text else ""))
    with pytest.raises(ConfigError, match=place.replace("[", r"\[")):
        load_policy(file)


def test_rejects_too_large_document() -> None:
    with pytest.raises(PolicyError, match="is over 16384 bytes"):
        Document.from_tables({"rules": {"x": "y" * DOCUMENT_BYTES}})


def test_reads_written_record_and_ignores_damaged_one() -> None:
    folder = Path(tempfile.mkdtemp())
    assert store.read(folder) is None
    for adopted in (AdoptedPolicy(0, None), AdoptedPolicy(3, Document.from_tables(ONE_ATTEMPT))):
        store.write(folder, adopted)
        assert store.read(folder) == adopted
    undamaged = (folder / store.FILE_NAME).read_bytes()
    for damaged in (b"", undamaged[:-5], undamaged.replace(b'"epoch": 3', b'"epoch": 4'), b"[]", b"\xff"):
        (folder / store.FILE_NAME).write_bytes(damaged)
        assert store.read(folder) is None


def test_call_keeps_rules_in_force_at_its_arrival() -> None:
    workers = [entry(f"w{n}") for n in range(4)]
    for before, after, is_retried in ((1, 4, False), (4, 1, True)):
        driver = Driver(settings(max_attempts=before, epoch=1), workers)
        (first,) = sends(driver.give(arrival(1)))
        driver.give(api.PolicyChanged(settings(max_attempts=after, epoch=2)))
        driver.give(ended(1, 0, first.worker, api.Result.ERROR))
        driver.run(200 * MS)
        retries = [effect for _, effect in driver.log if isinstance(effect, api.SendAttempt)][1:]
        assert bool(retries) is is_retried and all(attempt.epoch == 1 for attempt in (first, *retries))
        (new,) = sends(driver.give(arrival(2)))
        assert new.epoch == 2


def test_new_policy_changes_classes_and_windows_for_new_calls() -> None:
    driver = Driver(settings(), [entry("w0")])
    call_class = api.CallClass(
        "exam", 500 * MS, 900 * MS, api.Idempotency.NOT_IDEMPOTENT, api.DeduplicationScope.ALL, 0
    )
    driver.give(
        api.PolicyChanged(
            settings(classes=(call_class,), load_request_window_us=7, overload_window_us=9, keep_alive_us=0)
        )
    )
    assert sends(driver.give(arrival(1, "f", "exam")))
    dispatcher = driver.dispatcher
    load_requests = dispatcher.load_requests
    windows = (
        load_requests.arrivals.span_us,
        load_requests.requests.span_us,
        dispatcher.workers["w0"].sends.span_us,
    )
    assert windows == (7, 8, 9)
    assert dispatcher.calls[1].call_class is call_class and dispatcher.context.keep_alive_us == 2 * SECOND_US
