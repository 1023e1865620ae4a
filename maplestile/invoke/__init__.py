"""The second front: an invoke API over HTTP, with synchronous and deferred calls, before the same core."""
