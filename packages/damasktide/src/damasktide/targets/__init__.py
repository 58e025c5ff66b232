"""Backend servers as the platform lists them, with what may be sent to them."""
