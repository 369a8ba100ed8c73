"""What clients ask for: drawn ahead from the seed, whatever the routers make of it."""
