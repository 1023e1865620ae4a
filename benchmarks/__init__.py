"""Benchmarks of what each role costs as the fleet grows; run `python -m benchmarks`. See docs/CAPACITY.md."""
