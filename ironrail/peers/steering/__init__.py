"""Steering of clients: finds the zone that serves each region best, and moves connections there."""
