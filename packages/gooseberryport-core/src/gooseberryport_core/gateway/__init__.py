"""Decisions of the gateway, the single process on each entry VM of a platform with only a store.

Nothing here uses a socket, a clock or a global random source. Each module handles one load or
failure pattern, which its docstring names.
"""
