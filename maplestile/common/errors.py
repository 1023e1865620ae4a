"""Errors that more than one package raises or handles."""


class CommandRejected(Exception):
    """Raised when the replicated state rejects a command; the message is the reason, for its sender."""
