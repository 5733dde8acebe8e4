"""HTTP API for operators."""
