"""Verbs of the operators' command; ``hopstep.cli.ctl`` parses its command line."""
