"""What instances say and keep, and what follows for sending to them."""
