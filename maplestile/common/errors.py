"""How the agreed state turns a command down."""


class CommandRejected(Exception):
    """A command that does not fit; the text is the reason, for the one that asked."""
