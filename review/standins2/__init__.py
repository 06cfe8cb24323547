"""Stand-ins of the second review: state service, cloud, workers, users, and the checks of rules."""
