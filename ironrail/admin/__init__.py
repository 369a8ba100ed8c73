"""Admin endpoint without sockets: HTTP calls, connection limits and metrics."""
