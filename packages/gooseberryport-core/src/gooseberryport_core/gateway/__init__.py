"""Decisions of the gateway, for platforms whose only service is a key-value store.

The gateway is the only process of this project on each entry VM of such a platform.

Nothing here uses a socket, a clock or a global random source. Each module handles one load or
failure pattern, which its docstring names.
"""
