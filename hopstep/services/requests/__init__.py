"""Request handling: limits, admission, attempts and the answer."""
