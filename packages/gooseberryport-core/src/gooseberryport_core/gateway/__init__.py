"""Decisions of the gateway: the one process that runs on every entry VM of a store-only platform.

Nothing here touches a socket, a clock or a global random source. Every module answers one load or
failure pattern, which its docstring names.
"""
