"""What each role costs as the fleet grows; `python -m benchmarks` measures it. See docs/CAPACITY.md."""
