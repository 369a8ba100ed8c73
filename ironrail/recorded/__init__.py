"""Recorded load: what was really asked for, from HAR files and access logs, as traces that can be rehearsed.

Part of the kit. The daemon imports nothing of it.
"""
