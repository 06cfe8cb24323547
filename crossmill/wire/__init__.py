"""Messages as they stand on the wire; the only place that knows protocol field names."""
