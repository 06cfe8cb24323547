"""The base class of the errors that scheduling of multi-machine replicas raises."""


class MultihostError(Exception):
    """Multi-machine replicas can't be handled as asked; subclasses say why."""
