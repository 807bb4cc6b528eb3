"""Delivery: admission, attempts at upstreams, and the relay of their answers."""
