"""Builds a router's configuration in the platform's format, and starts a router with it."""

import json
import os
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol

from tests.shims.stepped_clock import SteppedClock
from tests.standins.name_server import NameServer
from tests.standins.program import Program


class Listening(Protocol):
    """A worker of any kind that listens on a port."""

    port: int


def params(**changes: Any) -> dict[str, Any]:
    """Return router settings in the platform's format, with invented values from no real deployment."""
    common = {"aimUs": 4_000_000, "deadlineUs": 15_000_000, "keyScope": "all", "windowUs": 4_000_000}
    classes = {"review": "free", "deck-make": "guarded", "test-submit": "single_shot"}
    return {
        "grades": [common | {"name": name, "semantics": semantics} for name, semantics in classes.items()],
        "instances": 1,
        "granularityUs": 4000,
        "discovery": "push",
        "kinds": ["std"],
        "familyInfo": {
            "orders": True,
            "lingerIdleUs": 9_000_000,
            "machineMb": [8000],
            "answerWithinUs": 9_000_000,
            "whenAbsent": "load",
        },
        "limits": {
            "attemptsCap": 5,
            "cancelling": True,
            "mayDuplicate": True,
            "probes": True,
            "idleCloseUs": 15_000_000,
            "connectTimeoutUs": 2_000_000,
        },
        "guarantees": {
            "answerSlackUs": 16_000,
            "coldUs": 9_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 4.0,
            "overloadForUs": 2_000_000,
            "startCapacity": 0.16,
        },
    } | changes


def target(uid: str, port: int, state: str = "Ready") -> dict[str, Any]:
    """Return a worker's entry in the platform's endpoint list."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "east",
        "model": "std",
        "pod_group": 2,
        "state": state,
        "capacity_hint": 4,
        "boot_ms": 0,
    }


def start_router(
    workers: Sequence[Listening],
    names: NameServer,
    folder: str = "",
    port: int = 0,
    clock: SteppedClock | None = None,
    shims: Mapping[str, str] | None = None,
    limits: Mapping[str, float] | None = None,
    **changes: Any,
) -> Program:
    """Start a router as the platform does.

    If `folder` is given, it is the router's temporary folder, and the router has an operators' front as well.
    `limits` are those on the process. With a `clock`, it runs under a wall clock that the test
    steps, and with the shims that the environment variables in `shims` turn on.
    """
    targets = [target(f"s-{number}", worker.port) for number, worker in enumerate(workers)]
    endpoint_list = {"index": 1, "updates": [{"index": 1, "endpoints": {"all": True, "targets": targets}}]}
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": os.urandom(8).hex(),
        "known": endpoint_list,
        "limits": limits or {"sockets": 256},
        "dns": f"127.0.0.1:{names.port}",
        "settings": params(**changes),
    }
    file = Path(tempfile.mkdtemp()) / "config.json"
    file.write_text(json.dumps(config))
    environment = {"TMPDIR": folder, "NODE_OPERATOR": "127.0.0.1:0"} if folder else {}
    environment |= shims or {}
    program = Program(clock=clock, NODE_CONFIG=str(file), **environment)
    program.file = file
    return program
