"""Tests of the daemon on real sockets."""
