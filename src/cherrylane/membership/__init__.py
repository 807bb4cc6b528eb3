"""Which hosts and upstreams there are, and which of them answer."""
