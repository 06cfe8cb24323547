"""The fleet of rented machines: what is needed of it, and the leader's requests to the cloud."""


class FleetError(Exception):
    """Base class of this package's errors."""
