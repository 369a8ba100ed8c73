"""What goes wrong, when and to whom: planned ahead from the seed, and carried out by the stand-ins."""
