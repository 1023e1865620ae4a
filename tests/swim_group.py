"""Members of the gossip group whose datagrams are delivered at once, without a network."""

from collections.abc import Callable, Sequence

from maplestile.membership.swim import Swim


def do_nothing() -> None:
    """The default of `after_each`."""


def deliver_all(swims: Sequence[Swim], now_us: int, after_each: Callable[[], None] = do_nothing) -> None:
    """Deliver what members send, and what they send in reply, until none has anything to send.

    Member `n` has the address `(host, n)`. `after_each` is called after each member's datagrams.
    """
    while any(swim.outbox for swim in swims):
        for swim in swims:
            outbox = list(swim.outbox)
            swim.outbox.clear()
            for (_, target), message in outbox:
                swims[target].receive(message, now_us)
            after_each()
