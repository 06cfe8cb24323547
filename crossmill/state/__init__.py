"""Access to the state service: a client, an in-memory mirror of its keys, a watcher, a writer."""
