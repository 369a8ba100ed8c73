"""Latency between zones: measured by each router, shared by gossip, merged from several reporters.

- `protocol.py`: the protocol that the peers' runtime drives;
- `round_trip.py`: the same, measuring round trips by its own messages;
- `link_monitor.py` and `link_tracker.py`: the state of links as this router measures it;
- `histogram.py`: the scale of durations, and histograms that decay;
- `reports.py`: link reports and their encoding in messages;
- `report_table.py`: reports of all routers, merged;
- `gossip_scheduler.py`: which reports are sent, and when;
- `snapshot.py`: snapshots of the links for the policy.

Design and figures: `docs/peers/latency.md`.
"""
