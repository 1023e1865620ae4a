"""Stand-ins for the cases of the review: clients, runners, a name server and the platform, on loopback."""
