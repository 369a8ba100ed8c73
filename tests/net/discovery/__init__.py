"""Tests of `ironrail.net.discovery`."""
