"""The errors of submitting a command to the replicated log."""


class LogError(Exception):
    """A command that got no answer; the text says whether it may yet take effect."""


class CommandNotTaken(LogError):
    """The command is surely not in the log: no leader took it in time."""


class OutcomeUnknown(LogError):
    """The command may be in the log, or may still get there, and no answer to it came."""
