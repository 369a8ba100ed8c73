"""Fuzzing of `ironrail/peers/` with reproducible seeds, run by `benchmarks/peers_fuzz.py` and `test_fuzz.py`."""
