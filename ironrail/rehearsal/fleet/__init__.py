"""Many routers before many caches, in virtual time: what is harmless from one router and harmful from all."""
