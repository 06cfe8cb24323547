"""Networking and time: HTTP client and server, token bucket, future and clock."""


class HttpStatus:
    """The HTTP status codes that this program sends and understands.

    The standard library's `http` has them too, but would be loaded at each start only for these.
    """

    OK = 200
    BAD_REQUEST = 400
    NOT_FOUND = 404
    CONFLICT = 409
    GONE = 410
    MISDIRECTED_REQUEST = 421
    TOO_MANY_REQUESTS = 429
    INTERNAL_SERVER_ERROR = 500
    SERVICE_UNAVAILABLE = 503
