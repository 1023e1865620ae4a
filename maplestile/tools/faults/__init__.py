"""Faults between processes and members: one schedule for the model and for the relay on loopback."""
