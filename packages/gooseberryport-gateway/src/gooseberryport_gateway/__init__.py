"""The gateway: one process on every entry VM of a platform with a key-value store but no disks."""
