"""Measures what answers without end of some instances cost the other requests of a node."""
