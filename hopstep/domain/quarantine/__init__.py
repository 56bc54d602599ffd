"""Which requests end the instances that run them, and are kept from instances for a while."""
