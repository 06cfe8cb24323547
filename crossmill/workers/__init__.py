"""The status and leases of workers, and the commands sent to them."""
