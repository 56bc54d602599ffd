"""Handling of one request: admission, choice of an instance, attempts, response, refusal."""
