"""The invoke API over HTTP, with synchronous and deferred calls, and the operator's file."""
