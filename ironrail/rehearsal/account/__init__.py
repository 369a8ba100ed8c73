"""Evaluates what the stand-ins recorded: service, rule violations and answer counts. No I/O."""
