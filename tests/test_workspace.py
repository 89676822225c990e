def test_packages_import() -> None:
    import gooseberryport_core  # noqa: F401
