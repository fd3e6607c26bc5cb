"""Daemon of an entry VM: serves callers, operators and other entry VMs."""
