"""Jobs of dependent steps: decisions, durable state and recovery."""
