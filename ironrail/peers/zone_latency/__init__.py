"""The shared map of latency between halls: own evidence, what others saw, and how much either is worth.

`protocol.py` is the room that a driver drives; `link_monitor.py` and `link_tracker.py` judge what this router sees,
`reports.py` is the form on the wire, `report_table.py` merges what witnesses say, `gossip_scheduler.py` picks what goes out,
`round_trip.py` measures round trips by its own messages, `snapshot.py` is what is handed to whoever decides.
Design and figures: `docs/peers/latency.md`.
"""
