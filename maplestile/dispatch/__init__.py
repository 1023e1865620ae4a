"""The decisions, free of I/O: which worker gets a call, whether it is retried, what is rejected.

To read it, follow an event from `dispatcher.py`. A call that arrives goes through `intake.py` (is it
admitted: `admission.py`), `call_router.py` (send, wait, retry, hedge, answer) and `placement.py` (which
worker), past the one gate before every attempt, `send_gate.py`. What comes back goes through `outcomes.py`
to `worker_health.py` (`outliers.py`, `zone_failure.py`) and `copy_records.py` (`loads.py`,
`warm_copies.py`). Load requests go through the one gate of `load_requests.py`; `keep_warm.py` makes those
that no call brings about. The records that all of them keep are in `state.py`, the workers in `fleet.py` and
`ranking.py`, the functions in `tiers.py`.
"""
