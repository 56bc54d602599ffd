"""The path of a request: limits, admission, attempts, answer."""
