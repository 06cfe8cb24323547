"""Who is entitled to act: controllers, their leases, shards, tokens, the leader."""
