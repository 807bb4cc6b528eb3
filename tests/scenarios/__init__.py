"""Scripted scenarios: a small language over the example fleet, one file for each failure."""
