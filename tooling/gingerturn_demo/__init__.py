"""The demonstrations: real processes on loopback, a surge, and a report."""
