"""The model: shipped decisions of membership, rollouts and policy changes on a discrete-event engine."""
