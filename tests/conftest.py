"""What all tests share: property tests draw the same examples every time, and none has a deadline."""

from hypothesis import settings

settings.register_profile("kelpfront", derandomize=True, deadline=None)
settings.load_profile("kelpfront")
