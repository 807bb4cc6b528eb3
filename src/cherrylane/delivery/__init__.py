"""Request delivery: admission, attempts at upstreams, and relaying of their responses."""
