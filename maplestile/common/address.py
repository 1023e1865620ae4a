"""Network addresses as `(host, port)` pairs, and their text form `host:port`."""

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """The address that `host:port` names. Raises ValueError where the port is no number."""
    host, _, port = text.rpartition(":")
    return host, int(port)
