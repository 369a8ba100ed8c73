"""The request path: from a client's command to its one final response."""
