"""maplestile: a router that dispatches calls of many small functions to a shared fleet of workers."""

from maplestile.dispatch.dispatcher import Dispatcher

__version__ = "0.1.0"
__all__ = ["Dispatcher", "__version__"]
