"""The control plane of a fleet: rollouts under a disruption budget, agreed among voters by Raft."""
