"""Recovery of shards after controllers fail (docs/recovery.md).

When a controller acquires a shard, the stored plans and the workers' heartbeats may differ. This
package decides when and how fast those differences are resolved: in a fixed order, at a limited
rate, in batches, and behind a circuit breaker that stops mass actions until an operator approves.

It is loaded only with `serve --recovery FILE`.
"""
