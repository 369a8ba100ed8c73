"""Experiments: variants of the router, played over the same worlds and seeds, and told apart from chance."""
