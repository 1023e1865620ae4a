"""Network addresses as `(host, port)` pairs, and their text form `host:port`."""

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises ValueError if the port is not a number."""
    host, _, port = text.rpartition(":")
    return host, int(port)
