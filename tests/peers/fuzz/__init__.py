"""Hostile input for `ironrail/peers/`, by seed: what `benchmarks/peers_fuzz.py` and `test_fuzz.py` run."""
