target/lib/base/rng.o: lib/base/rng.c lib/base/rng.h
lib/base/rng.h:
