"""Submission, lookup, cancellation and scheduling of jobs, and the writes to their records."""
