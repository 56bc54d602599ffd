"""What nodes tell each other by way of relays."""
