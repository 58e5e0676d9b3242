"""Random sequences of events and faults on the reducer, with the promises checked at each step."""
