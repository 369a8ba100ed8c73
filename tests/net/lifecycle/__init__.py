"""Tests of `ironrail.net.lifecycle`."""
