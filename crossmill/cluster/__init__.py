"""The stored state of the cluster, and which controller has the authority to act on it."""
