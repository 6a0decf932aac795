"""Codecs of the protocols between nodes."""
