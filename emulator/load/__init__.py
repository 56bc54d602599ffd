"""Load generator: bounded traffic to loopback, each answer checked against the oracle."""
