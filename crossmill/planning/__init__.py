"""Planning decisions as pure functions: no input or output, no clock."""
