"""The messages of PROTOCOL and their encodings.

Only this package uses the field names of the wire format. Each module covers one communication
partner: users, workers, the state service, the cloud, other controllers, or operators. All
functions are pure: `parse_...` validates a received message and returns a typed one, `..._body` and
`..._path` encode the body and the path of a request or response.
"""
