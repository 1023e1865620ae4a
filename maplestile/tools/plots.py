"""The set-up of matplotlib that all plots of the tools share."""

from typing import Any


def load_pyplot() -> Any:
    """The `matplotlib.pyplot` module, set up to draw into files without a screen.

    It is imported by the first plot, since that takes long and most runs draw nothing.
    """
    import matplotlib

    matplotlib.use("Agg")  # draws into memory, for a file; needs no screen
    from matplotlib import pyplot

    return pyplot
