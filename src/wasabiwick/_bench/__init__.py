"""Simulation benchmark: real reducers of several hosts, virtual clock, modelled engines."""
