"""Model checking of the protocols; the effect protocol's specification runs the product's fold."""
