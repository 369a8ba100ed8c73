"""What the stand-ins saw, and what follows from it: service, broken rules, verdicts. Pure."""
