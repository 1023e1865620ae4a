"""The numbers by which requests and control requests are known within a process."""


class NumberSequence:
    """Whole numbers from 1, each given once."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last = 0

    def next(self) -> int:
        """Return a number that no request and no control request has had."""
        self.last += 1
        return self.last
