"""Logging, decision records and metrics."""
