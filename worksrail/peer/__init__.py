"""Generated code of the protocol between instances."""
