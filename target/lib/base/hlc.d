target/lib/base/hlc.o: lib/base/hlc.c lib/base/hlc.h
lib/base/hlc.h:
