"""Measurements of real processes, and the table of the bench's trials; `python -m tools.NAME` runs one."""
