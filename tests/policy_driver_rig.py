"""A policy driver without a router, for tests and recorders."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from maplestile.control.policy.document import AdoptedPolicy
from maplestile.control.policy.settings import parse_policy_settings
from maplestile.invoke import operator_file as operator
from maplestile.operation import policy_json
from maplestile.router.config import Config, config_from
from maplestile.router.policy_driver import PolicyDriver, monotonic_us
from tests.standins import ROOT

OPERATOR = (ROOT / "deploy" / "operator.toml").read_text()


class PolicyDriverRig:
    """A policy driver that stores its policy on disk, and a list of the configurations that it applied."""

    def __init__(self, folder: Path, text: str = OPERATOR) -> None:
        self.text = text + f'[policy]\nfolder = "{folder}"\n'
        self.applied: list[Config] = []
        self.start()

    def start(self) -> None:
        """Start the driver, or restart it with the policy stored on disk."""
        tables = operator.parse_tables(self.text)
        settings = parse_policy_settings(tables)
        assert settings is not None
        self.driver = PolicyDriver(settings, tables, self.build)
        self.driver.apply_config = self.applied.append
        self.config = self.driver.build_config(tables)

    @staticmethod
    def build(tables: dict[str, Any], adopted: AdoptedPolicy | None) -> Config:
        """Build the configuration of a router from the tables of its file and the adopted policy."""
        settings = operator.settings_from_tables(tables, adopted)
        return config_from(settings.node, settings)

    def reload(self, old: str = "", new: str = "") -> Config:
        """Reload the file with `old` replaced by `new`, and return the configuration."""
        return self.driver.build_config(operator.parse_tables(self.text.replace(old, new)))

    def announce(self, epoch: int, **more: Any) -> dict[str, Any]:
        """Announce a committed epoch that was read just now, and return the driver's report."""
        answers: list[dict[str, Any]] = []
        message = {"epoch": epoch, "fenced_us": monotonic_us(), "checking": 0, **more}
        self.process_announcement(message, answers.append)
        (answer,) = answers
        return answer

    def process_announcement(self, message: object, reply: Callable[[dict[str, Any]], None]) -> None:
        """Decode an announcement and encode the driver's reply, as the operators' front does."""
        announcement = policy_json.decode_announcement(message)
        self.driver.process_announcement(
            announcement, lambda report: reply(policy_json.encode_report(report))
        )

    def check(self, message: object) -> dict[str, Any]:
        """Decode a policy change, check it, and encode the positive answer, as the operators' front does."""
        self.driver.check(policy_json.decode_check(message))
        return policy_json.encode_check_passed()

    def policy(self, **rules: Any) -> dict[str, Any]:
        """Return the tables of a policy with these rules and the file's classes."""
        return {"rules": rules, "class": operator.parse_tables(self.text)["class"]}
