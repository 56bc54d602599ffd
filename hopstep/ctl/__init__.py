"""Verbs of the operators' command; ``hopstep.cli.ctl`` reads its command line."""
