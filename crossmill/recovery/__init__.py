"""Recovery of shards after controllers fail (docs/recovery.md).

When a controller acquires a shard, the stored plans and the workers' heartbeats may differ. This
package decides when and how fast those differences are resolved: in a fixed order, at a limited
rate, in batches, and with a circuit breaker that blocks mass actions until an operator approves
them. An order is a command to a worker that resolves a difference, or the release of a machine to
the cloud.

The package is loaded only with `serve --recovery FILE`.
"""
