"""The gateway: one process on every entry VM of a platform that offers a store and no disks."""
