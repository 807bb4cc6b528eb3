"""Routing: routes, rendezvous hashing, the home hosts of engine pools, and cache hints."""
