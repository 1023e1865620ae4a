"""Measurements of real processes, and a table of the bench's runs; `python -m tools.NAME` starts one."""
