"""The driver of a router's policy without a router, for tests and recorders."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from maplestile.control.policy.document import AdoptedPolicy
from maplestile.control.policy.settings import policy_settings_of
from maplestile.invoke import operator_file as operator
from maplestile.operation import policy_json
from maplestile.router.config import Config, config_from
from maplestile.router.policy_driver import PolicyDriver, monotonic_us
from tests.standins import ROOT

OPERATOR = (ROOT / "deploy" / "operator.toml").read_text()


class PolicyDriverRig:
    """A policy driver with its record on disk, and the configurations that it put in force."""

    def __init__(self, folder: Path, text: str = OPERATOR) -> None:
        self.text = text + f'[policy]\nfolder = "{folder}"\n'
        self.applied: list[Config] = []
        self.start()

    def start(self) -> None:
        """Start the driver, or its successor on the same record."""
        tables = operator.tables_of(self.text)
        settings = policy_settings_of(tables)
        assert settings is not None
        self.driver = PolicyDriver(settings, tables, self.build)
        self.driver.apply_config = self.applied.append
        self.config = self.driver.configure(tables)

    @staticmethod
    def build(tables: dict[str, Any], adopted: AdoptedPolicy | None) -> Config:
        """The configuration of a router by its file and the adopted policy."""
        settings = operator.from_tables(tables, adopted)
        return config_from(settings.node, settings)

    def reload(self, old: str = "", new: str = "") -> Config:
        """Reload the file with one text replaced by another."""
        return self.driver.configure(operator.tables_of(self.text.replace(old, new)))

    def announce(self, epoch: int, **more: Any) -> dict[str, Any]:
        """Announce an epoch that was read just now; the driver's answer."""
        answers: list[dict[str, Any]] = []
        message = {"epoch": epoch, "fenced_us": monotonic_us(), "checking": 0, **more}
        self.take_announcement(message, answers.append)
        (answer,) = answers
        return answer

    def take_announcement(self, message: object, reply: Callable[[dict[str, Any]], None]) -> None:
        """Decode an announcement, and encode the driver's reply, as the operators' front does."""
        announcement = policy_json.decode_announcement(message)
        self.driver.take_announcement(announcement, lambda report: reply(policy_json.encode_report(report)))

    def check(self, message: object) -> dict[str, Any]:
        """Decode a change, and encode that it fits, as the operators' front does."""
        self.driver.check(policy_json.decode_check(message))
        return policy_json.encode_check_passed()

    def policy(self, **rules: Any) -> dict[str, Any]:
        """A document with these rules and the file's classes."""
        return {"rules": rules, "class": operator.tables_of(self.text)["class"]}
