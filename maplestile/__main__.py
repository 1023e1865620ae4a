"""Entry point of `python -m maplestile`.

Without arguments it runs a router that the platform configures by environment variables; with arguments it
runs the command line.
"""

import sys


def main() -> int:
    """Run the program and return its exit code."""
    # Imported here, so that a router of the platform does not spend time and memory on loading it.
    if sys.argv[1:]:
        from maplestile.tools import cli

        return cli.main()
    from maplestile.common.lean_imports import import_asyncio_without_tls

    import_asyncio_without_tls()
    from maplestile.router import process

    return process.platform()


if __name__ == "__main__":
    sys.exit(main())
