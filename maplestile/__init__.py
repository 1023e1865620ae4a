"""maplestile: the decisions of a dispatcher for many small functions on a shared fleet of workers."""

from maplestile.dispatch.dispatcher import Dispatcher

__version__ = "0.1.0"
__all__ = ["Dispatcher", "__version__"]
