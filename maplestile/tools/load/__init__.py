"""The load tool: calls to the invoke fronts of one or many instances, at a set rate or from a trace."""
