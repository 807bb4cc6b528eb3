"""Small stand-ins for what the fleet serves and stands on; no part of the product."""
