"""Group membership among router instances (SWIM with Lifeguard) and health checks shared among the members.

The package performs no I/O: it consists of state machines, and the caller passes in the time. `net.gossip`
runs them on a UDP socket, `tools.model` on a simulated network.
"""
