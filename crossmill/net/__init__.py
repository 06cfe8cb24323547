"""Networking and time utilities: HTTP client and server, token bucket, future and clock."""


class HttpStatus:
    """The HTTP status codes that this program sends or handles.

    They are defined here because importing the standard library's `http` for them alone would slow
    down each start.
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
