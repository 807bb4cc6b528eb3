"""Limits: how much work an engine and a client account may have, and who waits."""
