"""Stand-ins of the store, the workers and the links for jobs of steps."""
