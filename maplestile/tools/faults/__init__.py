"""Fault schedules for the model and for the relay, and the relay, which applies them to loopback traffic."""
