"""The entry node daemon of trefoilroad."""
