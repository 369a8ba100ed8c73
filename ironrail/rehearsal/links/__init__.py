"""Fault injection on the links between routers, servers and clients, and on processes, clocks and disks."""
