"""Stand-ins for the state service, the cloud, the workers and the users of PROTOCOL, on loopback.

They run in the process of a case and use the standard library only. The controllers are separate
processes, started with the commands of the deploy files.
"""
