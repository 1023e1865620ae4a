"""Network addresses as `(host, port)` pairs, and their text form `host:port`."""

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Return the address that `host:port` names. Raises ValueError where the port is not a number."""
    host, _, port = text.rpartition(":")
    return host, int(port)
