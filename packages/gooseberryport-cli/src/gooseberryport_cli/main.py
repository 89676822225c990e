"""Entry point of `gooseberryport`."""


def main() -> int:
    """Run the command line; returns the exit code."""
    return 0
