"""The model: the membership protocol of `peers` among many members on a discrete-event engine."""
