"""The errors of an agent's command server."""


class CommandError(Exception):
    """Raised when a command is refused or has failed; the message is the reason, for its sender."""
