"""Fuzzer of the reducer: runs random events and faults, and checks invariants after each step."""
