"""Admission control: load bounds, queueing, retry budgets and outlier detection."""
