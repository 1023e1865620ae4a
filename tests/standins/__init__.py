"""Test doubles for the peers of the program (workers, name server, clients), and the program as a process."""

from tests.standins.client import ITEM, REFUSED, Client, connect_idle_clients
from tests.standins.name_server import NameServer, name_bytes, record
from tests.standins.program import ROOT, Program
from tests.standins.resets import reset_on_close
from tests.standins.router_config import params, start_router, target
from tests.standins.waiting import PATIENCE_S, eventually, wait_until
from tests.standins.worker import LONG_ANSWER_BYTES, HoldingWorker, Worker, call_lines, in_base64

__all__ = [
    "ITEM",
    "LONG_ANSWER_BYTES",
    "PATIENCE_S",
    "REFUSED",
    "ROOT",
    "Client",
    "HoldingWorker",
    "NameServer",
    "Program",
    "Worker",
    "call_lines",
    "connect_idle_clients",
    "eventually",
    "in_base64",
    "name_bytes",
    "params",
    "record",
    "reset_on_close",
    "start_router",
    "target",
    "wait_until",
]
