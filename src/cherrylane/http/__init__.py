"""HTTP servers for callers and operators, and HTTP connections to upstreams."""
