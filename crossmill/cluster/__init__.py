"""The stored state of the cluster, and the controllers' authority to act on it."""
