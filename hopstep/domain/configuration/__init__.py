"""The operators' configuration: document, validation rules, log of changes, index."""
