"""The policy that a fleet agrees on, in force on every router or on none. Free of I/O but for `store`."""
