"""Planning of queue order, placement and capacity: pure functions without I/O or a clock."""
