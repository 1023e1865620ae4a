"""Test doubles of what surrounds the program (workers, name server, clients), and the program itself."""

from tests.standins.client import ITEM, REFUSED, Client
from tests.standins.name_server import NameServer, name_bytes, record
from tests.standins.program import ROOT, Program
from tests.standins.router_config import node, params, target
from tests.standins.waiting import PATIENCE_S, eventually, wait_until
from tests.standins.worker import Worker

__all__ = [
    "ITEM",
    "PATIENCE_S",
    "REFUSED",
    "ROOT",
    "Client",
    "NameServer",
    "Program",
    "Worker",
    "eventually",
    "name_bytes",
    "node",
    "params",
    "record",
    "target",
    "wait_until",
]
