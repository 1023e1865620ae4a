"""Writes into the record what clients asked and were answered, and what runners got and answered."""

from collections.abc import Iterable

from review.common_2.clients import Asked
from review.common_2.runners import Runner
from review.common_2.scene import Scene


def record_traffic(scene: Scene, runners: Iterable[Runner], asked: Iterable[Asked]) -> None:
    """Add a line for each request, at the time it was sent, and one for each call that came to a runner."""
    for one in asked:
        took_s = one.ended_s - one.sent_s
        scene.note(
            f"sent {one.class_name} {one.txn}: {one.end} after {took_s:.3f} s", one.sent_s - scene.started_s
        )
    for runner in runners:
        for call in runner.calls:
            end = f"{call.answer} after {call.answered_s - call.at_s:.3f} s" if call.answer else "no answer"
            text = f"{call.runner} (rack {call.cell}) got {call.tag}, key {call.once or 'none'}: {end}"
            scene.note(text, call.at_s - scene.started_s)
