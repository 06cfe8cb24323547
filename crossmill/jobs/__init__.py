"""Jobs: their submission, lookup, cancellation and scheduling, and the writes about them."""
