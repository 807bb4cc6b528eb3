"""Benchmarks: ratios against baselines in one run, never timed tests."""
