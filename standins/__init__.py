"""Simulators of upstreams and the platform, for local runs and tests; not part of the product."""
