"""Benchmarks: they report ratios to baselines of the same run and are never used as timed tests."""
