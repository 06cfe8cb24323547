"""Workers' machines: newest report, lease bound, attempts and the orders they need."""
