"""Loading of named weights under a lease."""
