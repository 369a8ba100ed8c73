"""Faults on each path between any two ends of a run, on processes, clocks and disks, from one plan."""
