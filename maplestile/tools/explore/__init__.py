"""Every order of events of a small case, played on the shipped module, core and pool, without sockets."""
