"""Follows discovery's endpoint list: HTTP calls, the list's form, watches and polls."""
