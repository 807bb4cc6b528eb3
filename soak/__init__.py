"""Soak test: runs real daemons on one machine, injects faults and checks their guarantees."""
