"""The daemon's access log without files or clocks: record form, sampling and rotation limit."""
