"""Placement: the choice of an upstream by cached prompt parts and by load."""
