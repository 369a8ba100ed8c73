"""Fuzzing of `ironrail/peers/` by seed; run by `benchmarks/peers_fuzz.py` and `test_fuzz.py`."""
