"""Errors that more than one package raises or handles."""


class CommandRejected(Exception):
    """A command that the replicated state does not accept; the text is the reason, for its issuer."""
