"""The datagram transport between routers.

It authenticates and fragments messages, protects against replays, and keeps to a rate limit. Pure:
no I/O, no clock, no random numbers of its own. `datagram_codec.py` seals and opens datagrams,
`send_queue.py` keeps a router's datagrams within a rate limit. The design and its guarantees are
in `docs/peers/wire.md`.
"""
