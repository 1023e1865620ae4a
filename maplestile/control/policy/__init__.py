"""The policy that a fleet agrees on, on every router or on none; free of I/O but for `store.py`."""
