"""Stand-ins of the platform and its workers, load tool and demo."""
