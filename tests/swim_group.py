"""Delivery of messages among members of a gossip group in memory, without a network."""

from collections.abc import Callable, Sequence

from maplestile.membership.swim import Swim


def do_nothing() -> None:
    """Do nothing: the default of `after_each`."""


def deliver_all(swims: Sequence[Swim], now_us: int, after_each: Callable[[], None] = do_nothing) -> None:
    """Deliver the messages of all members, and the replies to them, until every outbox is empty.

    Member `n` has the address `(host, n)`. `after_each` is called each time one member's messages are
    delivered.
    """
    while any(swim.outbox for swim in swims):
        for swim in swims:
            outbox = list(swim.outbox)
            swim.outbox.clear()
            for (_, target), message in outbox:
                swims[target].receive(message, now_us)
            after_each()
