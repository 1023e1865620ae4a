"""The form of the policy's messages on the operators' front, between an agent and its router.

An announcement is `{"epoch", "fenced_us", "checking"}`, with `"document"` if it is sent along; a check is
`{"change", "document"}`. Both are answered by JSON objects, too: an announcement by a `PolicyReport`.
"""

from typing import Any

from maplestile import __version__
from maplestile.control.policy.document import PolicyError, document_of
from maplestile.control.policy.follower import PolicyAnnouncement
from maplestile.operation.policy import PolicyCheck, PolicyReport


def decode_announcement(message: object) -> PolicyAnnouncement:
    """Return what the agent announces. Raises PolicyError, which names the field."""
    epoch = _whole_number(message, "epoch")
    fenced_us = _whole_number(message, "fenced_us")
    checking = _whole_number(message, "checking")
    assert isinstance(message, dict)  # it had its numbers
    document = document_of(message.get("document"))
    return PolicyAnnouncement(epoch, fenced_us, checking, "document" in message, document)


def decode_check(message: object) -> PolicyCheck:
    """Return what the router is to check. Raises PolicyError, which names the field."""
    change = _whole_number(message, "change")
    assert isinstance(message, dict)  # it had its number
    return PolicyCheck(change, document_of(message.get("document")))


def encode_report(report: PolicyReport) -> dict[str, Any]:
    """Return a report in JSON's types; it has `"fetch"` only where the router lacks the document."""
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
    """Return the answer to a check of a change that fits this build and file."""
    return {"build": __version__}


def _whole_number(message: object, name: str) -> int:
    value = message.get(name) if isinstance(message, dict) else None
    if type(value) is not int or value < 0:
        raise PolicyError(f"{name}: must be a whole number")
    return value
