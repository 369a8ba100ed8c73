"""Protocols between routers: datagram transport, consensus, zone latency and steering.

The code here is pure: no I/O, no clock and no state beyond its objects. A driver in
`ironrail/net/peers/` passes it events with their time, sends the messages it returns and calls it
again when its timer is due. Disabled unless the operator's file enables it.
`ironrail/peers/messages.py` defines the types that the protocols share.
"""
