"""hopstep: a placement-aware router for language-model traffic with long shared prompts."""
