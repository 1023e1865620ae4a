"""The explorer: plays every order of events of a small case on the shipped components, without sockets."""
