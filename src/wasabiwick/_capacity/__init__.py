"""Measures what each role costs and works out a host's share at the size of the letter."""
