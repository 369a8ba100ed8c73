"""Where the worth went: each lost request is laid to one cause."""
