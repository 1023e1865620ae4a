"""Models of membership, rollouts and policy changes: the shipped decision code on a discrete-event engine."""
