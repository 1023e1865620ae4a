"""Tests that no default takes the place of a record that should have come from another process.

An answer without a record tells nothing about it. Each default that is left in the modules below, which read
what other processes know about runners and members, is listed with the reason why it breaks no rule.
"""

import ast
from collections.abc import Iterator

import pytest

from tests.standins import ROOT

READERS = (
    "maplestile/agent/router_client.py",
    "maplestile/control/remote_log.py",
    "maplestile/membership/messages.py",
    "maplestile/net/dns_client.py",
    "maplestile/net/dns_discovery.py",
    "maplestile/operation/shared_endpoints.py",
    "maplestile/requests/endpoint_list.py",
    "maplestile/wire/dns.py",
)
ALLOWED = {
    # A whole answer in which the health checks of runners are off has no such entry.
    ("maplestile/agent/router_client.py", "(view.get('watch') or {}).get('silent', ())"),
    # A voter of an earlier release tells no status of routers; the status is only shown to operators.
    ("maplestile/control/remote_log.py", "control.get('told', {})"),
    # A datagram without updates leaves the entry out.
    ("maplestile/membership/messages.py", "fields.get(key, [])"),
    # A host without records: its worker is not listed until they have arrived.
    ("maplestile/net/dns_client.py", "found.hosts.get(name.lower(), dns.Host())"),
    ("maplestile/wire/dns.py", "self.hosts.get(target.name.lower(), Host())"),
    # The configuration's list is complete when it is written. A cell that it does not give is not shared.
    ("maplestile/requests/endpoint_list.py", "known.get('index', self.version)"),
    ("maplestile/requests/endpoint_list.py", "target.get('endpoint', '')"),
    ("maplestile/requests/endpoint_list.py", "target.get('az', '')"),
    ("maplestile/requests/endpoint_list.py", "target.get('model', '')"),
    ("maplestile/requests/endpoint_list.py", "target.get('pod_group', api.UNKNOWN_CELL)"),
    ("maplestile/requests/endpoint_list.py", "target.get('state', 'Ready')"),
    ("maplestile/requests/endpoint_list.py", "target.get('capacity_hint', 1.0)"),
    ("maplestile/requests/endpoint_list.py", "target.get('boot_ms', 0)"),
}


def defaults(source: str) -> Iterator[str]:
    """Yield the calls of `get` with a default in a module's code."""
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr == "get" and (len(node.args) > 1 or node.keywords):
            yield ast.unparse(node)


@pytest.mark.parametrize("path", READERS)
def test_missing_record_is_replaced_by_no_other_default(path: str) -> None:
    """Guards against runners of different cells that share one, because their records had not arrived."""
    found = {(path, default) for default in defaults((ROOT / path).read_text())}
    assert found == {(file, default) for file, default in ALLOWED if file == path}


def test_default_is_found() -> None:
    assert list(defaults("cell = int(texts.get('cell', 0))")) == ["texts.get('cell', 0)"]
