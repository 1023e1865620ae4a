"""Numbers that identify requests and control requests within a process."""


class NumberSequence:
    """Consecutive integers from 1."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last = 0

    def next(self) -> int:
        """Return the next number."""
        self.last += 1
        return self.last
