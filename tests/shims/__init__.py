"""Shims that make the system misbehave under a real process of the program."""
