"""The router on real sockets round the decision module."""
