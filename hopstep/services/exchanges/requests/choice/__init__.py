"""Which instance an attempt goes to."""
