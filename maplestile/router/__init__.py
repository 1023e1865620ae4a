"""Runs a router process: configuration, start, reload, drain, handover and the agreed policy."""
