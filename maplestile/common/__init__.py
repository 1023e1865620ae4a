"""What every other package may use: logs, addresses, TOML tables, durable files, errors, bounded waits."""
