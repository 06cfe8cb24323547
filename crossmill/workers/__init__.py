"""Workers' machines: their newest status, their leases, and the commands that they need."""
