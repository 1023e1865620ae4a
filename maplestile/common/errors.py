"""Errors that more than one package raises or handles."""


class CommandRejected(Exception):
    """The replicated state does not accept a command; the message is the reason, for the command's issuer."""
