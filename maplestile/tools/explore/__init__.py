"""The explorer: tries every order of events of small cases on the shipped components, without sockets."""
