"""Run generated event traces against a `Dispatcher`, and compute digests of the resulting actions.

The generated events depend only on the seed and on the dispatcher's decisions, so a digest changes only if a
decision changes. `python -m tests.decision_trace --write` records the digests of the current decisions.
"""

import argparse
import hashlib
import json
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.wire.simulator_codec import action_line
from tests.trace_environment import Environment
from tests.trace_episodes import Episodes
from tests.trace_variants import VARIANTS

FIXTURE = Path(__file__).parent / "recorded" / "decisions.json"
SEEDS = (1, 2, 3)
EVENTS = 15_000
EVENTS_PER_CHUNK = 1_000
EVENTS_PER_AVOIDED = 50  # events between two lines that list the workers that the dispatcher avoids


@dataclass(slots=True)
class Recording:
    """The counts and digests of a trace's actions."""

    events: int = 0
    actions: Counter[str] = field(default_factory=Counter)  # by the actions' names on the simulator's wire
    chunks: list[str] = field(default_factory=list)  # a digest for every `EVENTS_PER_CHUNK` events
    digest: str = ""  # of the whole trace; empty until it has ended

    def as_json(self, variant: str, seed: int) -> dict[str, Any]:
        """Return the JSON object that is recorded."""
        return {
            "variant": variant,
            "seed": seed,
            "events": self.events,
            "actions": dict(sorted(self.actions.items())),
            "chunks": self.chunks,
            "digest": self.digest,
        }


class ActionDigest:
    """The digests of the actions' wire lines, each with the number and time of its event."""

    def __init__(self) -> None:
        self.recording = Recording()
        self.whole = hashlib.sha256()
        self.chunk = hashlib.sha256()

    def add(self, now_us: int, actions: list[api.Action]) -> None:
        """Add the actions of one event."""
        for action in actions:
            line = action_line("d", action)
            self.recording.actions[line.partition(" ")[0]] += 1
            if isinstance(action, api.SendAttempt):  # two fields that are not on the simulator's wire
                line += f" epoch={action.epoch} untilUs={action.until_us}"
            self.add_line(f"{self.recording.events} {now_us} {line}")
        self.recording.events += 1
        if self.recording.events % EVENTS_PER_CHUNK == 0:
            self.recording.chunks.append(self.chunk.hexdigest()[:16])
            self.chunk = hashlib.sha256()

    def add_line(self, line: str) -> None:
        """Add a line to the digests of the trace and of the current chunk."""
        self.whole.update(f"{line}\n".encode())
        self.chunk.update(f"{line}\n".encode())

    def finished(self) -> Recording:
        """Return the recording, completed with the digest of the whole trace."""
        self.recording.digest = self.whole.hexdigest()
        return self.recording


class RecordedDispatcher:
    """A dispatcher whose actions and avoided workers are added to a digest."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.dispatcher = Dispatcher(settings, seed)
        self.digest = ActionDigest()

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Have the dispatcher handle an event, and record its actions."""
        actions = self.dispatcher.handle(now_us, event)
        if self.digest.recording.events % EVENTS_PER_AVOIDED == 0:
            workers = self.dispatcher.workers.items()
            avoided = [name for name, worker in workers if self.dispatcher.is_avoided(worker)]
            self.digest.add_line(f"avoided {' '.join(avoided)}")
        self.digest.add(now_us, actions)
        return actions


def run_trace(variant: str, seed: int, events: int = EVENTS) -> Recording:
    """Run the trace of one variant and seed, and return its recording."""
    dispatcher = RecordedDispatcher(VARIANTS[variant], seed)
    environment = Environment(VARIANTS[variant], seed, dispatcher.handle)
    environment.run(events, Episodes(environment).start_one)
    return dispatcher.digest.finished()


def main() -> None:
    """Print or write the digests of the current decisions."""
    parser = argparse.ArgumentParser(description="Record the dispatcher's decisions in generated traces.")
    parser.add_argument("--write", action="store_true", help=f"write {FIXTURE.name} instead of printing it")
    recorded = [run_trace(variant, seed).as_json(variant, seed) for variant in VARIANTS for seed in SEEDS]
    if parser.parse_args().write:
        FIXTURE.parent.mkdir(exist_ok=True)
        FIXTURE.write_text(json.dumps(recorded, indent=1) + "\n")
    else:
        print(json.dumps(recorded, indent=1))


if __name__ == "__main__":
    main()
