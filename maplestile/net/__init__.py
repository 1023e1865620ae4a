"""Drivers that read and write sockets and hand bytes to the machines in `maplestile.wire`."""
