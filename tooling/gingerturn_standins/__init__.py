"""Small stand-ins for what surrounds gingerturn; no part of the product."""
