"""The operators' configuration: document, rules, log of changes, look-ups."""
