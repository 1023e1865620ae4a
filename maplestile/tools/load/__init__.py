"""The load generator: calls to the invoke fronts of one or more instances, at a set rate or as in a trace."""
