"""The matplotlib setup that the plots of all tools share."""

from typing import Any


def load_pyplot() -> Any:
    """Return the `matplotlib.pyplot` module, set up to draw into files without a display.

    It is imported only when something is plotted, because the import is slow and most runs plot nothing.
    """
    import matplotlib

    matplotlib.use("Agg")  # draws into memory and needs no display
    from matplotlib import pyplot

    return pyplot
