"""A soak trial: real routers under stepped clocks, signals in series, faulty workers and crowds of clients.

`python -m tests.soak --seeds 1-50` plays trials and prints the broken rules of each. The schedule of a trial
depends on its seed alone; `rules.py` names the rules. `tests/test_soak.py` plays a few short trials.
"""
