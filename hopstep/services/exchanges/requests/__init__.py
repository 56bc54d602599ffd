"""One request on its way: admission, choice, attempts, answer, refusal."""
