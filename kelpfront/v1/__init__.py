"""Made by `make proto` from proto/kelpfront/v1; a test checks that it is fresh."""
