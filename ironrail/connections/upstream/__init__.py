"""Decisions about the connections to one server: how many, and which carries an attempt."""
