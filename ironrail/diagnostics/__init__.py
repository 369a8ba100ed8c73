"""What the daemon counts and logs of itself, and the invariants it checks at run time. Pure."""
