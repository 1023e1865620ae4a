"""Group membership among router instances (SWIM with Lifeguard) and health checks shared among the members.

Everything here is free of I/O: state machines on a clock that the caller passes in. `net.gossip` drives them
on a UDP socket, `tools.model` on a simulated network.
"""
