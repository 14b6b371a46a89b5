from kelpfront import Scheduler


def test_import() -> None:
    assert callable(Scheduler.handle)
