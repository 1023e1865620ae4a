"""Membership among instances: SWIM with Lifeguard, shared duties; state machines without I/O."""
