"""Tests of wasabiwick, one module each."""
