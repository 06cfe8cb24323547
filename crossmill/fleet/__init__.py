"""The fleet of rented machines: its capacity, the demand forecast and requests to the cloud."""


class FleetError(Exception):
    """Base class of this package's errors."""
