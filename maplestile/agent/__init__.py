"""The agent: a process that supervises routers and workers, and takes part in rollouts and policy changes."""
