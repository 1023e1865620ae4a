"""The decisions, free of I/O: which worker gets a call, whether it is retried, what is rejected."""
