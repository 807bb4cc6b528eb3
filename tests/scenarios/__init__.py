"""Scripted failure scenarios on the example fleet, one file per failure, in a small language."""
