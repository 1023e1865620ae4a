"""basaltreel: the decisions of a dispatcher for many small functions on a shared fleet of workers."""

from basaltreel.decide import Dispatcher

__all__ = ["Dispatcher"]
