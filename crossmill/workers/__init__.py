"""The status and leases of workers, and the commands that they are sent."""
