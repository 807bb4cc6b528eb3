"""A fault soak: real daemons on one machine, faults from outside, promises checked throughout."""
