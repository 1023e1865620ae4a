"""Without arguments a node of the platform; else the command line."""

import sys


def main() -> int:
    if sys.argv[1:]:
        from maplestile.tools import cli

        return cli.main()
    from maplestile.router import process as node

    return node.platform()


if __name__ == "__main__":
    sys.exit(main())
