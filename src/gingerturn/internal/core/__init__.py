"""The pure core: one reducer over all events, with effects as data."""
