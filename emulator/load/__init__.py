"""Load generator: bounded traffic to loopback, each response checked for correctness."""
