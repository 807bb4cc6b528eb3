"""Stand-ins: simulators of upstreams and of the platform, for tests; not part of the product."""
