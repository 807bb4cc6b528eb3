"""Admission of requests to cold upstreams: evidence, shares of their rate, and tokens."""
