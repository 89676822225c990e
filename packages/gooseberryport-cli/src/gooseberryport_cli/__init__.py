"""The command line of gooseberryport for operators."""
