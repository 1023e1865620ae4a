"""Helpers for all other packages: logs, addresses, TOML tables, durable files, errors, bounded waits."""
