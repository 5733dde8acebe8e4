"""Daemon: creates events from I/O and runs the effects of the reducer."""
