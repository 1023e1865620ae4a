"""The control plane of a fleet: rollouts within a disruption budget and the policy, replicated by Raft."""
