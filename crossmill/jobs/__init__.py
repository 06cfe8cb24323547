"""Jobs: accepting, querying, withdrawing; plans and final states."""
