"""Entry point of `python -m maplestile`: without arguments a node of the platform, else the command line."""

import sys


def main() -> int:
    """Run the program, and return its exit code."""
    # Imported here: the platform's nodes don't load the command line (start time and memory).
    if sys.argv[1:]:
        from maplestile.tools import cli

        return cli.main()
    from maplestile.router import process

    return process.platform()


if __name__ == "__main__":
    sys.exit(main())
