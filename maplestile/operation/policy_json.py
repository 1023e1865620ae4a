"""Encodes and decodes the policy messages between an agent and its router, in JSON.

An announcement is `{"epoch", "fenced_us", "checking"}`, and `"document"` if the agent sends that too. A check
is `{"change", "document"}`. The response to an announcement is a `PolicyReport`, and to a check `{"build"}`.
"""

from typing import Any

from maplestile import __version__
from maplestile.control.policy.document import PolicyError, decode_document
from maplestile.control.policy.follower import PolicyAnnouncement
from maplestile.operation.policy import PolicyCheck, PolicyReport


def decode_announcement(message: object) -> PolicyAnnouncement:
    """Return the announcement in a message. Raises PolicyError, which names the field."""
    epoch = _whole_number(message, "epoch")
    fenced_us = _whole_number(message, "fenced_us")
    checking = _whole_number(message, "checking")
    assert isinstance(message, dict)  # _whole_number rejects anything else
    document = decode_document(message.get("document"))
    return PolicyAnnouncement(epoch, fenced_us, checking, "document" in message, document)


def decode_check(message: object) -> PolicyCheck:
    """Return the check in a message. Raises PolicyError, which names the field."""
    change = _whole_number(message, "change")
    assert isinstance(message, dict)  # _whole_number rejects anything else
    return PolicyCheck(change, decode_document(message.get("document")))


def encode_report(report: PolicyReport) -> dict[str, Any]:
    """Return a report as JSON values, with `"fetch"` only if the router lacks the document."""
    encoded: dict[str, Any] = {
        "epoch": report.epoch,
        "digest": report.digest,
        "standing": report.status.value,
        "stale_s": report.stale_s,
        "reason": report.reason,
        "build": report.build,
        "calls": {str(epoch): dict(counts) for epoch, counts in report.calls_by_epoch.items()},
    }
    if report.lacks_document:
        encoded["fetch"] = True
    return encoded


def encode_check_passed() -> dict[str, Any]:
    """Return the response to a check of a change compatible with this build and the configuration file."""
    return {"build": __version__}


def _whole_number(message: object, name: str) -> int:
    value = message.get(name) if isinstance(message, dict) else None
    if type(value) is not int or value < 0:
        raise PolicyError(f"{name}: must be a whole number")
    return value
