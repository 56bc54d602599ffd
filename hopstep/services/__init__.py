"""Services of a router: they connect the domain's decisions with the ports."""
