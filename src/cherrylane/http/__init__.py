"""The HTTP sides of a daemon: one for callers, one for operators."""
