"""Operation of a router: the operators' front, metrics, cordons and the handover between processes."""
