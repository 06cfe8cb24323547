"""The state service: client, mirror, follower, writer."""
