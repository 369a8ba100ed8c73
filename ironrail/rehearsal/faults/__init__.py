"""Plans faults and their targets from the seed and injects them into stand-ins and routers."""
