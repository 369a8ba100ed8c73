"""Rules for client connections and for the resources that they share; pure, without I/O."""
