"""At most one run of a request that may not be repeated, across hosts and callers' retries."""
