"""Errors raised when a command is submitted to the replicated log."""


class LogError(Exception):
    """A submitted command got no reply; the text says whether it may still take effect."""


class CommandNotLogged(LogError):
    """No leader accepted the command in time, so it is certainly not in the log."""


class OutcomeUnknown(LogError):
    """No reply came; the command may be in the log or may still be appended to it."""
