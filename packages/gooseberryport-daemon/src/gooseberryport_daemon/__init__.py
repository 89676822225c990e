"""The gooseberryport entry daemon: a process that forwards requests and owns pools."""
