"""The command-line interface of gooseberryport for operators."""
