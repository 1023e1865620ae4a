"""maplestile: the decisions of a dispatcher for many small functions on a shared fleet of workers."""

from maplestile.decide import Dispatcher

__all__ = ["Dispatcher"]
