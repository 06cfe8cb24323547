"""HTTP over curio and h11: a server, a pooled client, a pacer."""
