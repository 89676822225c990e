"""The gooseberryport entry daemon."""
