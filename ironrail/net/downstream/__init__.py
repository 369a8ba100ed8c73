"""The sockets of clients: accepted connections, commands, responses and closes."""
