"""What every other package uses: logs, addresses, TOML tables, durable files, errors."""
