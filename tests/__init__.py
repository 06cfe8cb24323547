"""Tests of crossmill, and the modules that support them."""
