"""Catalogue of numbered log events, a module for each range of numbers.

Every log line of hopstep is one of these events. ``docs/EVENTS.md`` lists them; a test compares it
with these modules. Prompts, answers and keys are never fields of an event.
"""
