"""Node daemon of trefoilroad: API for callers and owner of the region."""
