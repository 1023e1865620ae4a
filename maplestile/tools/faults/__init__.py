"""Fault schedules for the model and the relay, and the relay itself, which applies them on loopback."""
