"""Keeps libraries out of a router's memory that it does not use."""

import sys

TLS_MODULE = "ssl"


def import_asyncio_without_tls() -> None:
    """Import asyncio without OpenSSL, which takes 5 MB; asyncio supports a Python that was built without it.

    To be called before anything else imports asyncio. A later import of `ssl` itself works as usual.
    """
    if TLS_MODULE in sys.modules:
        return
    sys.modules[TLS_MODULE] = None  # type: ignore[assignment]  # makes the import of `ssl` fail
    try:
        import asyncio  # noqa: F401
    finally:
        del sys.modules[TLS_MODULE]
