"""The fleet: what to rent, adopt, return; the leader's dealings with the cloud."""
