"""Operating a router day by day: the operators' front, metrics, cordoned runners, replacing the process."""
