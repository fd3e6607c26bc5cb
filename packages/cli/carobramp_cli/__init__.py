"""Package of carobramp."""
