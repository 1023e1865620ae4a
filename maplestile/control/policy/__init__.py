"""The policy that all routers of a fleet share, changed on all of them or on none. Only `store` does I/O."""
