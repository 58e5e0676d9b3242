"""Measures the cost of each role and computes a host's load at the required fleet size."""
