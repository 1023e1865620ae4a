"""Decides, without any I/O, which worker gets a call and which calls are retried or rejected.

A good place to start reading is `dispatcher.py`, which handles each event. An arriving call goes through
`intake.py` (with admission control in `admission.py`), `call_router.py` (sending, waiting, retrying, hedging
and answering) and `placement.py` (choosing a worker). Every attempt must pass the check in `send_gate.py`.
The outcomes of attempts go through `outcomes.py` to `worker_health.py` (`outliers.py`, `zone_failure.py`) and
`copy_records.py` (`loads_in_progress.py`, `warm_copies.py`). Every load request must pass the check in
`load_requests.py`; `keep_warm.py` makes the load requests that are not caused by a call. The shared records
are in `state.py`, the workers in `fleet.py` and `ranking.py`, and the functions in `tiers.py`.
"""
