"""Fleet membership: the lists of hosts and upstreams, and failure detection between hosts."""
