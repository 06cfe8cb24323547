"""The state service: the client, the mirror of its keys, the watcher and the writer."""
