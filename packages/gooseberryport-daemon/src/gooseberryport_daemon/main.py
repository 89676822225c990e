"""Entry point of `gooseberryportd`."""


def main() -> int:
    """Run the daemon; returns the exit code."""
    return 0
