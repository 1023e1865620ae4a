"""Running a router day by day: the operators' front, figures, suspended runners, replacing the process."""
