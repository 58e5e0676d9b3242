"""Small specifications for the model checker; the effect protocol's one drives the real fold."""
