"""The form of a view of membership on the operators' front: keys in the order of the answer.

{"member", "incarnation", "isolated", "health", "agreed": [name, ...],
 "members": [{"name", "address", "status", "incarnation"}, ...],
 "watch": null or {"mine": [runner, ...], "silent": [runner, ...], "taken_over", "given_up", "overlap",
                   "left"}}
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:  # a router without membership loads none of it: start time and memory
    from maplestile.membership.view import HealthChecksView, MembershipView, MemberView


def encode_membership(view: "MembershipView") -> dict[str, Any]:
    """Return a view in JSON's types."""
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
