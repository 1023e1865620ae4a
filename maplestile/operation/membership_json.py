"""Encodes a membership view for the operators' front.

The keys are in the order of the response:

{"member", "incarnation", "isolated", "health", "agreed": [name, ...],
 "members": [{"name", "address", "status", "incarnation"}, ...],
 "watch": null or {"mine": [runner, ...], "silent": [runner, ...], "taken_over", "given_up", "overlap",
                   "left"}}
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:  # not loaded by a router without membership, to save start time and memory
    from maplestile.membership.view import HealthChecksView, MembershipView, MemberView


def encode_membership(view: "MembershipView") -> dict[str, Any]:
    """Return a view as a dictionary of JSON values."""
    checks = view.health_checks
    return {
        "member": view.own_name,
        "incarnation": view.incarnation,
        "isolated": view.isolated,
        "health": view.local_health,
        "agreed": list(view.agreed),
        "members": [_encode_member(member) for member in view.members],
        "watch": None if checks is None else _encode_health_checks(checks),
    }


def _encode_member(member: "MemberView") -> dict[str, Any]:
    host, port = member.address
    return {
        "name": member.name,
        "address": f"{host}:{port}",
        "status": member.status.value,
        "incarnation": member.incarnation,
    }


def _encode_health_checks(checks: "HealthChecksView") -> dict[str, Any]:
    return {
        "mine": list(checks.assigned),
        "silent": list(checks.silent),
        "taken_over": checks.taken_over,
        "given_up": checks.given_up,
        "overlap": checks.overlap,
        "left": checks.skipped_probes,
    }
