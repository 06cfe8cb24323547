"""The messages of PROTOCOL and their encodings; no other package knows the names of their fields.

Each module covers one peer: users, workers, the state service, the cloud, other controllers, and
operators. The functions are pure: `parse_...` checks a received message and returns a typed one,
`..._body` and `..._path` encode what is sent.
"""
