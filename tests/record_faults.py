"""Recorders of what fault schedules do to datagrams, and of the relay's replies to commands."""

import asyncio
import json
import random

from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.control_port import ControlPort
from maplestile.tools.faults.relay import Relay
from maplestile.tools.faults.schedule import ScheduleError, schedule_from
from maplestile.tools.model import experiment
from tests.recording import Recorder, as_json, masked, relative
from tests.standins import ROOT

DATAGRAMS = 12  # drawn at each of the times
TIMES_US = (0, 15_000_000, 60_000_000)
SEED = 7
RELAY_LINES = (
    "",
    "[]",
    "{}",
    '{"do": "nothing"}',
    '{"do": "counts"}',
    '{"do": "counts", "more": 1}',
    '{"do": "udp", "member": 0, "address": "127.0.0.1:1"}',
    '{"do": "udp", "member": 9, "address": "127.0.0.1:1"}',
    '{"do": "udp", "member": 0, "address": "10.0.0.1:1"}',
    '{"do": "udp", "member": 0}',
    '{"do": "tcp", "from": 0, "to": 1, "address": "127.0.0.1:1"}',
    '{"do": "tcp", "from": 0, "to": 1, "address": "127.0.0.1:1"}',
    '{"do": "tcp", "from": 0, "to": 7, "address": "127.0.0.1:1"}',
    '{"do": "begin"}',
    '{"do": "begin", "schedule": {"kill": [{"at_s": 1, "member": 1}]}}',
    '{"do": "begin", "schedule": {"net": {"loss": 2}}}',
    '{"do": "begin", "schedule": {"nothing": 2}}',
    '{"do": "heal"}',
    '{"do": "heal", "more": 1}',
    '{"do": "counts"}',
)


def schedules() -> str:
    """Return what each example schedule does to datagrams at some times, with a fixed seed."""
    results: dict[str, object] = {}
    for file in sorted((ROOT / "examples" / "model").glob("*.toml")):
        schedule = schedule_from(TomlTable(experiment.read_tables(file), "", ScheduleError))
        generator = random.Random(SEED)
        results[relative(file)] = [
            [
                [schedule.is_cut(0, 9, at_us), schedule.is_cut(9, 0, at_us)],
                [schedule.delivery_delays_us(0, 9, at_us, generator) for _ in range(DATAGRAMS)],
            ]
            for at_us in TIMES_US
        ]
    return as_json(results)


def relay_replies() -> str:
    """Return the replies of the relay's control port to valid and invalid commands."""

    async def replies() -> str:
        relay = Relay(schedule_from(TomlTable({"seed": 1, "members": 3}, "", ScheduleError)))
        await relay.open_fronts()
        port = ControlPort(relay)
        answers = [f"> {line}\n{json.dumps(await port.execute(line.encode()))}\n" for line in RELAY_LINES]
        return masked("".join(answers))

    return asyncio.run(replies())


RECORDERS: dict[str, Recorder] = {
    "faults-schedules.json": schedules,
    "faults-relay.txt": relay_replies,
}
