"""Decision logic: no I/O, no clock, and no randomness except seeded state."""
