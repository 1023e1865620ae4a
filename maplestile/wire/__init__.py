"""Protocols as state machines that are fed bytes and know no socket."""
