"""Reads and writes sockets, and passes the bytes to the protocol code in `maplestile.wire`."""
