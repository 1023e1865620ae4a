"""The errors of an agent's command server."""


class CommandError(Exception):
    """A command that is refused, with the reason for whoever sent it."""
