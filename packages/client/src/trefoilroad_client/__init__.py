"""Python API and command line of trefoilroad."""
