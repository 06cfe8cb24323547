"""The base class of errors raised while scheduling multi-machine replicas."""


class MultihostError(Exception):
    """An operation on multi-machine replicas has failed; subclasses state the reason."""
