"""Bench: the real reducers of several hosts on a virtual clock, against one small engine model."""
