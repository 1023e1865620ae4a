"""Open requests: the core, attempts, the pool of connections to runners, and the endpoint list."""
