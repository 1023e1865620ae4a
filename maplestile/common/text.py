"""Limits the length of texts that may quote what another process has sent."""

MAX_TEXT_CHARACTERS = 2000


def shortened(text: str, limit: int = MAX_TEXT_CHARACTERS) -> str:
    """Return a text, without its middle if it has more than `limit` characters."""
    left_out = len(text) - limit
    if left_out <= 0:
        return text
    half = limit // 2
    return f"{text[:half]} ({left_out} characters left out) {text[-half:]}"
