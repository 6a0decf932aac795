"""A randomized soak: real processes on one machine, and faults from outside them."""
