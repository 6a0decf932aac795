"""Measurements; none of them is a test."""
