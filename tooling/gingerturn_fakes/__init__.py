"""Fakes at the core's interfaces, on a fake clock.

The real reducers run against fake backend servers, callers and a fake log; each
hop is a delay. No sockets, no processes: the same seed gives the same run.
"""
