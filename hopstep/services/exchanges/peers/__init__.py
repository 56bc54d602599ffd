"""Messages between nodes, by way of relays: directory changes, loads, quotas and permits."""
