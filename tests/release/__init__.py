"""A release trial: real routers and a fleet whose runners are replaced, under a steady demand.

The runners have a capacity, which is small right after a start. `budget.py` compares what each cold runner
got with what the settings allow. `tests/test_process_release.py` plays the scenarios.
"""
