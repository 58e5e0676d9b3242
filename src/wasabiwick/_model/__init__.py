"""Model checking of the protocols; log records are applied by the product's own code, `_fold`."""
