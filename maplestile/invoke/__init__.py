"""The HTTP invoke API, with synchronous and deferred calls, and the operator's file."""
